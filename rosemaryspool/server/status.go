package server

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/refuser"
)

// modelList is the body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version"`
}

func (s *Server) listModels(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	configuration := s.configuration.Load()
	if configuration == nil {
		s.replyRefusal(w, r, noConfiguration())
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range configuration.Models() {
		entry := modelEntry{ID: string(m.Name), Object: "model", OwnedBy: "rosemaryspool", Version: string(m.Version)}
		list.Data = append(list.Data, entry)
	}
	s.replyJSON(w, http.StatusOK, list)
}

// healthReply is the body of GET /healthz and GET /readyz.
type healthReply struct {
	Instance string `json:"instance"`
	State    string `json:"state"`
	Revision uint64 `json:"revision,omitempty"`
}

func (s *Server) reportHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.replyJSON(w, http.StatusOK, healthReply{Instance: string(s.settings.Instance), State: "alive"})
}

// reportReadiness responds with 200 while a configuration is in force and the instance is not shutting down.
func (s *Server) reportReadiness(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if s.shuttingDown.Load() {
		refusal := refuser.NewRefusal(refuser.ShuttingDown, refuser.NotRun, "the instance is stopping")
		s.replyRefusal(w, r, refusal)
		return
	}
	configuration := s.configuration.Load()
	if configuration == nil {
		s.replyRefusal(w, r, noConfiguration())
		return
	}
	reply := healthReply{
		Instance: string(s.settings.Instance), State: "ready", Revision: uint64(configuration.Revision),
	}
	s.replyJSON(w, http.StatusOK, reply)
}

func (s *Server) reportMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.registry, w)
}
