package server

import (
	"encoding/json"
	"net/http"

	"rosemaryspool.example/core/refuser"
	"rosemaryspool.example/rosemaryspool/dispatcher"
)

// streamResponse writes the answer as server-sent events. The [DONE] event is sent only after a complete answer; an
// answer that fails after its first event ends with an error event instead.
func (s *Server) streamResponse(
	w http.ResponseWriter, r *http.Request, g generationRequest, exchange *dispatcher.Exchange,
) {
	stream := &eventStream{writer: w, control: http.NewResponseController(w)}
	for {
		progress, err := exchange.Next(r.Context())
		if err != nil {
			s.dispatcher.Cancel(exchange.RequestID)
			if s.isStopped() {
				s.endStream(w, r, stream, newUnfinishedRefusal())
			}
			return
		}
		if len(progress.Text) > 0 && (stream.started || progress.Refusal == nil) {
			stream.send(g.format.chunk(exchange.RequestID, string(progress.Text), nil))
		}
		if progress.Refusal != nil {
			s.endStream(w, r, stream, progress.Refusal)
			return
		}
		if progress.Ended {
			reason := progress.Finish.Reason
			stream.send(g.format.chunk(exchange.RequestID, "", &reason))
			stream.finish()
			return
		}
		if stream.broken {
			s.dispatcher.Cancel(exchange.RequestID)
			return
		}
	}
}

// endStream ends a stream that failed: with an error event, or with an error response if it has not started.
func (s *Server) endStream(w http.ResponseWriter, r *http.Request, stream *eventStream, refusal *refuser.Refusal) {
	if !stream.started {
		s.replyRefusal(w, r, refusal)
		return
	}
	stream.send(newErrorBody(r, refusal))
}

// eventStream writes server-sent events. After a failed write it is broken and drops all further events.
type eventStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	started bool
	broken  bool
}

func (e *eventStream) send(event any) {
	encoded, err := json.Marshal(event)
	if err != nil {
		e.broken = true
		return
	}
	e.write("data: " + string(encoded) + "\n\n")
}

func (e *eventStream) finish() { e.write("data: [DONE]\n\n") }

func (e *eventStream) write(text string) {
	if e.broken {
		return
	}
	if !e.started {
		e.started = true
		e.writer.Header().Set("Content-Type", "text/event-stream")
		e.writer.Header().Set("Cache-Control", "no-store")
		e.writer.WriteHeader(http.StatusOK)
	}
	if _, err := e.writer.Write([]byte(text)); err != nil {
		e.broken = true
		return
	}
	if err := e.control.Flush(); err != nil {
		e.broken = true
	}
}
