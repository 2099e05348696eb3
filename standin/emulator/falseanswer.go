package emulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// refusesNext reports whether RepeatsRefusal rejects the request that has just arrived: the first one, and each that follows
// one that ran.
func (u *Upstream) refusesNext() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refused == ""
}

// hidesRuns reports whether the responses to requests that have run say or show something else.
func (b Behaviour) hidesRuns() bool {
	switch b {
	case FailsAsBusy, FailsAsMisdirected, RefusesUnnamed, RepeatsRefusal, CutsHead:
		return true
	default:
		return false
	}
}

// respondFalsely responds to a request that has run as one of the behaviours that hide it.
func (u *Upstream) respondFalsely(w http.ResponseWriter, behaviour Behaviour) {
	id := w.Header().Get(HeaderAttempt)
	switch behaviour {
	case FailsAsBusy:
		w.Header().Set(HeaderSignature, u.ID+".1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case FailsAsMisdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case RefusesUnnamed:
		writeRaw(w, refusal("")+u.rawResponse(id))
	case RepeatsRefusal:
		u.mu.Lock()
		refused := u.refused
		u.refused = ""
		u.mu.Unlock()
		writeRaw(w, refusal(refused)+u.rawResponse(id))
	default:
		response := u.rawResponse(id)
		writeRaw(w, response[:len(response)/3])
	}
}

// copies is the state of an upstream that copies refusals.
type copies struct {
	// count is the number of refusals, byID holds them by the ID of the request, until it has run.
	count int
	byID  map[string]string
	// ahead and behind are written before and after the next answer, to whatever connection.
	ahead, behind string
	// refusedLast is true if the latest request was refused.
	refusedLast bool
}

// refuseInTurn refuses a request as CopiesRefusals does, or reports that it is to run.
func (u *Upstream) refuseInTurn(w http.ResponseWriter, r *http.Request, run Run) bool {
	id := run.Header.Get(HeaderAttempt)
	u.mu.Lock()
	c := &u.copies
	c.refusedLast = !c.refusedLast && c.byID[id] == ""
	if !c.refusedLast {
		u.mu.Unlock()
		return false
	}
	status, way := []int{503, 429, 421, 400}[c.count%4], c.count/4%3
	c.count++
	text := fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		status, HeaderAttempt, id, HeaderNotExecuted)
	if c.byID == nil {
		c.byID = map[string]string{}
	}
	c.byID[id] = text
	switch way {
	case 1:
		c.ahead = text
	case 2:
		c.behind = text
	}
	u.rejected = append(u.rejected, run)
	u.mu.Unlock()
	w.Header().Set(HeaderNotExecuted, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	if way == 0 {
		writeBehind(w, r, text)
	}
	return true
}

// copyAhead writes the copies that are due before the answer to a request, and returns what is due behind it.
func (u *Upstream) copyAhead(r *http.Request, id string) string {
	u.mu.Lock()
	c := &u.copies
	ahead, behind := c.ahead+c.byID[id], ""
	c.ahead = ""
	delete(c.byID, id)
	if u.Events == 0 {
		behind, c.behind = c.behind, ""
	}
	u.mu.Unlock()
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && ahead != "" {
		_, _ = io.WriteString(conn, ahead)
	}
	return behind
}

// writeBehind writes bytes to a request's connection after its answer, which is complete.
func writeBehind(w http.ResponseWriter, r *http.Request, text string) {
	_ = http.NewResponseController(w).Flush()
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		_, _ = io.WriteString(conn, text)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// refusal returns a response which states that a request did not run; an empty ID is left out.
func refusal(id string) string {
	named := ""
	if id != "" {
		named = HeaderAttempt + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + named + HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// rawResponse returns the whole response to a request of a plain service or, for an engine, a whole new stream.
func (u *Upstream) rawResponse(id string) string {
	body, kind := ResponseBody, "text/plain"
	if u.Events > 0 {
		body, kind = StreamEvents(1, u.Events), "text/event-stream"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.1\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, id, HeaderSignature, u.ID, kind, len(body), body)
}

// writeRaw writes bytes to the connection of a request and closes it.
func writeRaw(w http.ResponseWriter, content string) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, content)
}

// eventFormat is the format of an event with its number, twice.
const eventFormat = "id: %d\ndata: piece %d\n\n"

func streamEvent(event int) string { return fmt.Sprintf(eventFormat, event, event) }

// StreamEvents returns the events of a stream from one to another.
func StreamEvents(from, to int) string {
	text := ""
	for event := from; event <= to; event++ {
		text += streamEvent(event)
	}
	return text
}

// WrongResumption is a response with status 200 to a resumed stream that is not the rest of the stream.
type WrongResumption struct{ ContentType, Body string }

// WrongResumptions returns wrong responses where the event with the given text is due.
func WrongResumptions(due string) []WrongResumption {
	const events = "text/event-stream"
	return []WrongResumption{
		{"text/plain", "failure\n\n"},
		{"text/plain", due},
		{events, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
		{events, "data: piece\n\n"},
		{events, "event: error\ndata: failure\n\n"},
		{events, due + "failure\n\n"},
	}
}

// resumeWrongly responds to a resumed stream in the next of the ways of ResumesWrongly.
func (u *Upstream) resumeWrongly(w http.ResponseWriter, due int) {
	ways := WrongResumptions(streamEvent(due))
	u.mu.Lock()
	way := ways[u.resumptions%len(ways)]
	u.resumptions++
	u.mu.Unlock()
	w.Header().Set("Content-Type", way.ContentType)
	_, _ = io.WriteString(w, way.Body)
}
