package gatekeeper

import (
	"bufio"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/governor"
)

// statusHandler serves the readiness probe and the metrics of the instance.
type statusHandler struct {
	governor *governor.Governor
	registry metrics.Registry
	notReady atomic.Bool
}

func newStatusHandler(g *governor.Governor, registry metrics.Registry) *statusHandler {
	return &statusHandler{governor: g, registry: registry}
}

// setNotReady makes the readiness probe fail from now on.
func (h *statusHandler) setNotReady() { h.notReady.Store(true) }

// readiness responds with 200 when the instance can serve requests, and with 503 before that and during a planned stop.
func (h *statusHandler) readiness() http.Handler {
	router := httprouter.New()
	router.GET(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if h.notReady.Load() || !h.governor.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

// metrics writes all metrics of the registry as text.
func (h *statusHandler) metrics() http.Handler {
	router := httprouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		out := bufio.NewWriter(w)
		h.registry.Each(func(name string, metric any) { writeMetric(out, name, metric) })
		// An error means that the client has disconnected; nothing else can be done.
		_ = out.Flush()
	})
	return router
}

// writeMetric writes a counter or gauge as one line, a histogram as one line for each of its statistics.
func writeMetric(out *bufio.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(out, "%s %d\n", name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(out, "%s %d\n", name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		quantiles := s.Percentiles([]float64{0.5, 0.95, 0.99})
		fmt.Fprintf(out, "%s.count %d\n%s.mean %.0f\n%s.p50 %.0f\n%s.p95 %.0f\n%s.p99 %.0f\n%s.max %d\n",
			name, s.Count(), name, s.Mean(), name, quantiles[0], name, quantiles[1], name, quantiles[2], name, s.Max())
	}
}
