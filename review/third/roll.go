package main

import (
	"sync"
	"syscall"
	"time"
)

// playRoll: while servers of two software versions serve, three of seven machines are stopped and started in turn. The first
// two keep the origins of the service's streams, the third has streams that are longer than its stop may last. Their clients
// take them up at the four other machines. LOST is judged as in playHerd.
func playRoll(s *system, trouble bool) int {
	const name, prefix, gap = "xano55b", "/lohu930/", time.Second
	rolled, others := []int{5, 0, 2}, []int{1, 3, 4, 6}
	notes, notePause = 200, 60*time.Millisecond
	s.addNoteServers(name)
	s.configureNotes(name, prefix)
	s.addGateways(7, nil)
	time.Sleep(4 * time.Second)

	var done sync.WaitGroup
	t := &tally{}
	for i := range 14 {
		done.Add(1)
		go func() {
			defer done.Done()
			s.followNote(t, prefix, rolled[2], others, i)
		}()
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		for _, k := range rolled {
			done.Add(1)
			go func() {
				defer done.Done()
				s.restart(s.gateways[k])
			}()
			time.Sleep(gap)
		}
	} else {
		time.Sleep(time.Duration(len(rolled)) * gap)
	}
	// The third machine has ended its requests by then.
	time.Sleep(7 * time.Second)
	s.beginNotes(t, &done, prefix, others)
	done.Wait()
	return t.judge(s.record)
}

// restart stops a gateway as planned, and starts it again.
func (s *system) restart(g *gateway) {
	s.signal(g, syscall.SIGTERM)
	kill := time.AfterFunc(8*time.Second, func() { _ = g.command.Process.Kill() })
	err := g.command.Wait()
	kill.Stop()
	text := "ended"
	if err != nil {
		text = err.Error()
	}
	s.record.add("stopped", "-", g.name+": "+text)
	time.Sleep(500 * time.Millisecond)
	s.writeSettings(g, false, nil)
	s.start(g)
}
