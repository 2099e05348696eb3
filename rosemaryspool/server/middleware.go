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

// instrument assigns an id to each request, returns it in a response header and records the duration by route.
func (s *Server) instrument(route string, next httprouter.Handle) httprouter.Handle {
	timer := meter.NewHistogram("requestDurationNs."+route, s.registry)
	return func(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
		started := time.Now()
		id := s.nextRequestID()
		w.Header().Set(HeaderRequest, string(id))
		next(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)), parameters)
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
