package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// notes is how many events a stream has, notePause the time between two.
var notes, notePause = 60, streamPause

// playHerd: while servers of two software versions serve, four of seven machines are killed at the same moment, among them the
// two that keep the origins of the service's streams. Their clients take the streams up at the three others. LOST: of 12 or
// more streams that clients take up at machines in touch, the share that goes on is under half of the share of new streams
// that begin. It returns how many more of them should have gone on.
func playHerd(s *system, trouble bool) int {
	// With this name of the service, its origins are reported to the machines 5 and 0.
	const name, prefix = "xano55b", "/lohu930/"
	killed, others := []int{5, 0, 1, 6}, []int{2, 3, 4}
	s.addNoteServers(name)
	s.configureNotes(name, prefix)
	s.addGateways(7, nil)
	time.Sleep(4 * time.Second)

	var done sync.WaitGroup
	t := &tally{}
	stream := func(at, next int) {
		defer done.Done()
		s.followNote(t, prefix, at, others, next)
	}
	for i := range 5 {
		for k, at := range killed {
			done.Add(1)
			go stream(at, i+k)
		}
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		for _, k := range killed {
			s.signal(s.gateways[k], syscall.SIGKILL)
		}
		for _, k := range killed {
			_ = s.gateways[k].command.Wait()
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.beginNotes(t, &done, prefix, others)
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		for _, k := range killed {
			s.writeSettings(s.gateways[k], false, nil)
			s.start(s.gateways[k])
		}
	}
	done.Wait()
	return t.judge(s.record)
}

// addNoteServers starts three servers of each of two software versions, whose streams may be taken up.
func (s *system) addNoteServers(name string) {
	for i := range 6 {
		v := &server{id: fmt.Sprintf("i-%d", i+1), service: name, zone: zones[i%3], version: fmt.Sprintf("v%d", 1+i/3)}
		v.stream = s.noteStream(v)
		s.addServer(v)
	}
}

// noteStream returns how a server writes a stream, from the event after Last-Event-Id on.
func (s *system) noteStream(v *server) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= notes && r.Context().Err() == nil; n++ {
			fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, v.version)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(notePause)
		}
	}
}

func (s *system) configureNotes(name, prefix string) {
	r := route("r-notes", prefix, "streaming", name, 15000, 1000, 2)
	r["resumable"] = true
	s.configure(7, []map[string]any{r}, []map[string]any{service(name)})
}

// tally counts the streams that clients took up, those that went on, and the new streams and those that began.
type tally struct{ takenUp, wentOn, fresh, begun atomic.Int64 }

// judge returns how many streams that were taken up were lost, if LOST is broken.
func (t *tally) judge(record *recorder) int {
	record.add("count", "-", fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new streams began",
		t.wentOn.Load(), t.takenUp.Load(), t.begun.Load(), t.fresh.Load()))
	if t.takenUp.Load() < 12 || 2*t.wentOn.Load()*t.fresh.Load() >= t.begun.Load()*t.takenUp.Load() {
		return 0
	}
	return int(t.takenUp.Load() - t.wentOn.Load())
}

// followNote has a client follow a stream, and take it up at the other machines if it breaks off.
func (s *system) followNote(t *tally, prefix string, at int, others []int, next int) {
	c, err := dial(s.record, s.gateways[at])
	if err != nil {
		cannotRun("%v", err)
	}
	end := time.Now().Add(15 * time.Second)
	a := c.send(http.MethodPost, prefix+"2f", "one note", time.Until(end))
	_ = c.conn.Close()
	last := lastEvent(a.body)
	if a.err == nil || last == 0 {
		return
	}
	t.takenUp.Add(1)
	if s.takeUp(prefix, a.id, last, others, next, end) {
		t.wentOn.Add(1)
	}
}

// beginNotes has clients begin new streams at some machines.
func (s *system) beginNotes(t *tally, done *sync.WaitGroup, prefix string, at []int) {
	for i := range 12 {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := dial(s.record, s.gateways[at[i%len(at)]])
			if err != nil {
				return
			}
			defer c.conn.Close()
			t.fresh.Add(1)
			if a := c.send(http.MethodPost, prefix+"2f", "one note", 15*time.Second); lastEvent(a.body) > 0 {
				t.begun.Add(1)
			}
		}()
	}
}

// takeUp has a client take its stream up at other machines, as often as it may within its time. It reports whether the stream
// went on to its end.
func (s *system) takeUp(prefix, begunBy string, last int, at []int, next int, end time.Time) bool {
	for try := range 4 {
		left := time.Until(end)
		c, err := dial(s.record, s.gateways[at[(next+try)%len(at)]])
		if err != nil {
			continue
		}
		a := c.send(http.MethodPost, prefix+"2f", "one note", left, fmt.Sprintf("Last-Event-Id: %d", last), "Resumes: "+begunBy)
		_ = c.conn.Close()
		if n := lastEvent(a.body); n > last {
			last = n
		}
		if a.err == nil && last == notes {
			return true
		}
		time.Sleep(min(a.retryAfter, left/3))
	}
	s.record.add("LOST", begunBy, fmt.Sprintf("the stream doesn't go on after event %d", last))
	return false
}

// lastEvent returns the id of the last whole event, zero if there is none.
func lastEvent(body string) int {
	last := 0
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if line, _, _ := strings.Cut(event, "\n"); strings.HasSuffix(event, "\n\n") {
			last, _ = strconv.Atoi(strings.TrimPrefix(line, "id: "))
		}
	}
	return last
}
