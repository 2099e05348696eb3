package server

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/meter"
)

// requestIDKey is the context key of the request id.
type requestIDKey struct{}

// instrument assigns an id to each request, returns it in a response header and records the duration by route. During a
// planned stop it refuses requests that come too late.
func (s *Server) instrument(route string, next httprouter.Handle) httprouter.Handle {
	timer := meter.NewHistogram("requestDurationNs."+route, s.registry)
	return func(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
		started := time.Now()
		id := s.nextRequestID()
		w.Header().Set(HeaderRequest, string(id))
		ctx, release := s.withStop(context.WithValue(r.Context(), requestIDKey{}, id))
		defer release()
		r = r.WithContext(ctx)
		if s.shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		if s.refusesNew.Load() {
			s.refuseLate(w, r)
		} else {
			next(w, r, parameters)
		}
		timer.Update(time.Since(started).Nanoseconds())
	}
}

// nextRequestID returns an id that is unique over all instances and restarts.
func (s *Server) nextRequestID() identifier.RequestID {
	id := fmt.Sprintf("%s-%x-%d", s.settings.Instance, s.started.UnixMilli(), s.sequence.Add(1))
	return identifier.RequestID(id)
}

func requestID(r *http.Request) identifier.RequestID {
	id, _ := r.Context().Value(requestIDKey{}).(identifier.RequestID)
	return id
}
