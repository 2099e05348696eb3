package server

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/refuser"
)

// stoppingRetryAfterMS is the delay after which a caller whose request came too late may send it to another instance.
const stoppingRetryAfterMS = 1000

// errStopping ends the requests that still run at the limit of a planned stop.
var errStopping = eris.New("server: the instance is stopping")

// RefuseNew refuses all model requests and service calls that arrive from now on.
func (s *Server) RefuseNew() { s.refusesNew.Store(true) }

// EndRequests ends the requests in flight, each with a response that says whether it may have run.
func (s *Server) EndRequests() { s.endRequests(errStopping) }

// withStop returns a context that ends with its parent or at the limit of a planned stop.
func (s *Server) withStop(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(s.stopped, func() { cancel(errStopping) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// isStopped reports whether a planned stop has reached its limit.
func (s *Server) isStopped() bool { return s.stopped.Err() != nil }

// refuseLate refuses a request that came too late in a planned stop, once its body has been read.
func (s *Server) refuseLate(w http.ResponseWriter, r *http.Request) {
	if _, refusal := s.readBody(w, r); refusal != nil {
		s.replyRefusal(w, r, refusal)
		return
	}
	s.replyRefusal(w, r, newLateRefusal())
}

func newLateRefusal() *refuser.Refusal {
	refusal := refuser.NewRefusal(refuser.ShuttingDown, refuser.NotRun, "the instance is stopping")
	refusal.RetryAfterMS = stoppingRetryAfterMS
	return refusal
}

// newUnfinishedRefusal returns the refusal of a request that still ran at the limit of a planned stop.
func newUnfinishedRefusal() *refuser.Refusal {
	return refuser.NewRefusal(refuser.ShuttingDown, refuser.OutcomeUnknown, "the instance stopped before the answer")
}
