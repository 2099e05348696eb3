package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	limit, leaving := u.limit, u.leaving
	u.mu.Unlock()
	if limit != "" {
		w.Header().Set(HeaderLimit, limit)
	}
	if leaving {
		w.Header().Set(HeaderLeaving, "1")
	}
	if r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/-/kv-handle/") {
		u.mu.Lock()
		delete(u.handles, strings.TrimPrefix(r.URL.Path, "/-/kv-handle/"))
		u.mu.Unlock()
		return
	}
	if r.URL.Path == "/-/report" {
		u.report(w, r)
		return
	}
	id := r.Header.Get(HeaderAttempt)
	w.Header().Set(HeaderAttempt, id)
	if expected := r.Header.Get(HeaderExpect); expected != "" && expected != u.ID {
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	behaviour, delay, others, isFatal := u.behaviour, u.delay, u.others, u.isFatal
	u.mu.Unlock()
	if behaviour != Responds {
		u.restoreOthers(others)
	}
	prefillOnly := r.Header.Get(HeaderStage) == "prefill"
	run := Run{
		At: time.Now(), Method: r.Method, URI: r.RequestURI, Body: string(body), Header: r.Header.Clone(),
		PrefillOnly: prefillOnly,
	}
	if behaviour == CopiesRefusals && u.refuseInTurn(w, r, run) {
		return
	}
	if behaviour == Rejects || behaviour == RepeatsRefusal && u.refusesNext() {
		u.mu.Lock()
		u.rejected = append(u.rejected, run)
		u.refused = id
		retryAfter := u.retryAfter
		u.mu.Unlock()
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.Header().Set(HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run)
	handle := fmt.Sprintf("h%d", len(u.runs))
	if prefillOnly {
		u.handles[handle] = true
	}
	u.mu.Unlock()
	fatal := isFatal != nil && isFatal(run)
	behind := ""
	if behaviour == CopiesRefusals && !prefillOnly {
		behind = u.copyAhead(r, id)
	}
	u.wait(r, behaviour, delay)
	if fatal && !prefillOnly && r.Context().Err() == nil {
		u.crash()
	}
	switch {
	case behaviour == Resets || behaviour == Hangs:
		panic(http.ErrAbortHandler)
	case behaviour.hidesRuns() && !prefillOnly:
		u.respondFalsely(w, behaviour)
	case prefillOnly:
		writeJSON(w, http.StatusOK, map[string]any{"kv-handle": handle, "tokens": 1})
	case u.Events > 0:
		u.stream(w, r, behaviour)
	case strings.HasPrefix(r.URL.Path, LargePath):
		w.Header().Set(HeaderSignature, u.ID+".1")
		if behaviour == Truncates {
			w.Header().Set("Content-Length", fmt.Sprint(len(largeBody)))
			_, _ = w.Write(largeBody[:len(largeBody)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(largeBody)
	case behind != "":
		w.Header().Set("Content-Length", fmt.Sprint(len(ResponseBody)))
		u.respond(w, behaviour)
		writeBehind(w, r, behind)
	default:
		u.respond(w, behaviour)
	}
}

// LargePath is the beginning of the paths at which plain services respond with a body of a megabyte.
const LargePath = "/lookups/large"

var largeBody = bytes.Repeat([]byte("large"), 200<<10)

// IsLargeBody reports whether a text is the whole body of a response at LargePath.
func IsLargeBody(text string) bool { return text == string(largeBody) }

// MemoryTokens is the memory size that engines report.
const MemoryTokens = 500_000

// report responds with the engine's state. Rejects and Resets affect reports as well.
func (u *Upstream) report(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.reports++
	behaviour := u.behaviour
	u.mu.Unlock()
	switch {
	case behaviour == Resets:
		panic(http.ErrAbortHandler)
	case behaviour == Rejects:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Header.Get(HeaderExpect) != u.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"stage": u.Stage, "kv-total": MemoryTokens})
	}
}

func (u *Upstream) wait(r *http.Request, behaviour Behaviour, delay time.Duration) {
	if behaviour == Hangs {
		delay = time.Hour
	}
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		u.mu.Lock()
		u.canceled++
		u.mu.Unlock()
	}
}

// ResponseBody is the body of a plain service's response.
const ResponseBody = "the whole answer"

func (u *Upstream) respond(w http.ResponseWriter, behaviour Behaviour) {
	h := w.Header()
	h.Set(HeaderSignature, u.ID+".1")
	status := http.StatusOK
	switch behaviour {
	case Fails:
		status = http.StatusInternalServerError
	case Unsigned:
		h.Del(HeaderSignature)
	case WrongAttempt:
		h.Set(HeaderAttempt, "another")
	case Truncates:
		h.Set("Content-Length", fmt.Sprint(len(ResponseBody)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, ResponseBody[:4])
		panic(http.ErrAbortHandler)
	case RespondsTwice:
		u.respondTwice(w)
		return
	default:
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, ResponseBody)
}

// respondTwice writes a response and, on the same connection, a second one without a request.
func (u *Upstream) respondTwice(w http.ResponseWriter) {
	attempt := w.Header().Get(HeaderAttempt)
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	for _, attemptID := range []string{attempt, "another"} {
		_, _ = io.WriteString(connection, u.rawResponse(attemptID))
	}
	time.Sleep(50 * time.Millisecond)
	_ = connection.Close()
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	w.Header().Set(HeaderSignature, u.ID+".1")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get(HeaderLastEvent), &last)
	switch {
	case behaviour == Fails && last > 0:
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	case behaviour == ResumesWrongly && last > 0:
		u.resumeWrongly(w, last+1)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	u.mu.Lock()
	pause := u.pause
	u.mu.Unlock()
	truncates := behaviour == Truncates || (behaviour == TruncatesNew || behaviour == ResumesWrongly) && last == 0
	for event := last + 1; event <= u.Events; event++ {
		if behaviour == SkipsEvent && event == u.Events-1 {
			continue
		}
		if truncates && event == u.Events/2+1 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", event)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, eventFormat, event, event)
		_ = http.NewResponseController(w).Flush()
		if event < u.Events && pause > 0 {
			u.wait(r, Responds, pause)
		}
	}
}
