package gatekeeper

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/core/rationer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/forwarder"
	"rosemaryspool.example/rosemaryspool/governor"
)

// statusHandler serves the readiness probe and the metrics of the instance.
type statusHandler struct {
	governor *governor.Governor
	registry metrics.Registry
	memory   *rationer.Rationer
	// explain tells where a request would go.
	explain  http.HandlerFunc
	notReady atomic.Bool
}

func newStatusHandler(
	g *governor.Governor, memory *rationer.Rationer, explain http.HandlerFunc, registry metrics.Registry,
) *statusHandler {
	return &statusHandler{governor: g, memory: memory, explain: explain, registry: registry}
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

// metrics writes all metrics of the registry as text. The traits that are suspected or quarantined are listed at /traits;
// DELETE /traits/TRAIT releases one.
func (h *statusHandler) metrics() http.Handler {
	router := httprouter.New()
	router.GET("/traits", h.listTraits)
	router.HandlerFunc(http.MethodGet, forwarder.ExplainPath, h.explain)
	router.DELETE("/traits/:trait", h.releaseTrait)
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		h.countTraits()
		h.countSpeeds()
		metrics.GetOrRegisterGauge("configurationVersion", h.registry).Update(int64(h.governor.ConfigurationVersion()))
		metrics.GetOrRegisterGauge("heldBytes", h.registry).Update(int64(h.memory.Used()))
		out := bufio.NewWriter(w)
		h.registry.Each(func(name string, metric any) { writeMetric(out, name, metric) })
		// An error means that the client has disconnected; nothing else can be done.
		_ = out.Flush()
	})
	return router
}

// countTraits updates the gauges of the suspected and the quarantined traits.
func (h *statusHandler) countTraits() {
	var suspected, quarantined int64
	for _, c := range h.governor.IsolatedTraits(time.Now()) {
		if c.Status == isolator.Quarantined {
			quarantined++
		} else {
			suspected++
		}
	}
	metrics.GetOrRegisterGauge("traitsSuspected", h.registry).Update(suspected)
	metrics.GetOrRegisterGauge("traitsQuarantined", h.registry).Update(quarantined)
}

// countSpeeds updates the gauges of the upstreams that are steadily quick or slow.
func (h *statusHandler) countSpeeds() {
	for _, c := range h.governor.SpeedCounts() {
		metrics.GetOrRegisterGauge("upstreamsQuick."+c.Work.String(), h.registry).Update(int64(c.Quick))
		metrics.GetOrRegisterGauge("upstreamsSlow."+c.Work.String(), h.registry).Update(int64(c.Slow))
	}
}

// listTraits writes one line for each trait that is suspected or quarantined.
func (h *statusHandler) listTraits(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	now := time.Now()
	for _, c := range h.governor.IsolatedTraits(now) {
		processes := make([]string, 0, len(c.Processes))
		for _, p := range c.Processes {
			processes = append(processes, fmt.Sprintf("%s:%d", p.Upstream, p.Incarnation))
		}
		// An error means that the client has disconnected; nothing else can be done.
		_, _ = fmt.Fprintf(w, "trait=%s status=%s crashes=%d leftMs=%d processes=%s\n",
			c.Trait, c.Status, c.Crashes, max(0, c.Until.Sub(now).Milliseconds()), strings.Join(processes, ","))
	}
}

// releaseTrait has requests with a trait sent again.
func (h *statusHandler) releaseTrait(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	trait, err := isolator.ParseTrait(p.ByName("trait"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !h.governor.ReleaseTrait(time.Now(), trait):
		http.Error(w, "trait is neither suspected nor quarantined", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
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
