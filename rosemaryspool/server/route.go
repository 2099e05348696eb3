package server

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Handler returns the HTTP handler for requests from callers, balancers and metric collectors.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", s.instrument("chat", s.completeChat))
	router.POST("/v1/completions", s.instrument("completion", s.completeText))
	router.GET("/v1/models", s.listModels)
	router.POST("/v1/services/:service/*path", s.instrument("service", s.callService))
	router.GET("/healthz", s.reportHealth)
	router.GET("/readyz", s.reportReadiness)
	router.GET("/metrics", s.reportMetrics)
	router.NotFound = http.HandlerFunc(s.replyNotFound)
	router.MethodNotAllowed = http.HandlerFunc(s.replyMethodNotAllowed)
	return router
}
