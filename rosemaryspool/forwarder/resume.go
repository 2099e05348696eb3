package forwarder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/resumer"
)

const (
	// originMargin is added to the time that a caller waits. It covers the way of its requests.
	originMargin = time.Second
	// unknownOriginRetryAfter is the Retry-After for a stream of which no instance knows the version.
	unknownOriginRetryAfter = 500 * time.Millisecond
	// causeUnknownVersion is the cause with which a stream ends that began at an unknown version, or maybe at another one.
	causeUnknownVersion = "streamVersionUnknown"
)

// resume finds out at which service and version a stream began that the caller takes up again. It returns false if the
// request has to be refused because nobody knows.
func (e *exchange) resume() (result, bool) {
	if e.caller.LastEventID == "" || !e.route.Streaming {
		return result{}, true
	}
	metrics.GetOrRegisterCounter("streamsResumedByCallers", e.forwarder.registry).Inc(1)
	o, versions, known := e.forwarder.delegator.StreamOrigin(e.ctx, e.service, resumer.NewStreamID(e.caller.Resumes))
	if sole, found := versions.Sole(); !known && found && len(e.route.Services) == 1 {
		o, known = resumer.Origin{Service: e.service, Version: sole}, true
	}
	known = known && e.forwarder.governor.AwaitProcess(e.ctx, o.Process)
	if known && o.Version != identifier.UnknownVersion && e.route.Uses(o.Service) {
		e.service, e.streamVersion = o.Service, &o.Version
		return result{}, true
	}
	metrics.GetOrRegisterCounter("streamOriginsUnknown", e.forwarder.registry).Inc(1)
	return e.refuse(causeUnknownVersion, unknownOriginRetryAfter), false
}

// mayGoOn reports whether the version is known at which the stream began that broke off.
func (e *exchange) mayGoOn() bool {
	if e.streamVersion == nil {
		return true
	}
	if *e.streamVersion == identifier.UnknownVersion || !e.forwarder.governor.AwaitProcess(e.ctx, e.streamProcess) {
		return false
	}
	e.streamProcess = resumer.Process{}
	return true
}

// recordStream records the version at which a stream begins with its first event, so that it is resumed only there. One that
// begins at an unknown version is resumed nowhere.
func (e *exchange) recordStream(now time.Time) {
	if e.streamVersion != nil || e.last.peer != "" {
		// The instance that serves the request knows the version.
		return
	}
	version, process := e.last.entry.Version, resumer.NewProcess(e.last.entry, e.last.since)
	confirmation := e.forwarder.governor.Confirm(process)
	if confirmation == resumer.Confirmed {
		process = resumer.Process{}
	}
	if !e.last.known || confirmation == resumer.Refuted {
		version, process = identifier.UnknownVersion, resumer.Process{}
		metrics.GetOrRegisterCounter("streamsOfUnknownVersion", e.forwarder.registry).Inc(1)
	}
	e.streamVersion, e.streamProcess = &version, process
	if e.route.Resumable && e.caller.ID != "" {
		e.forwarder.governor.StreamBegan(now, resumer.Origin{
			Stream: resumer.NewStreamID(e.caller.ID), Service: e.service, Version: version, Process: process,
			Until: e.started.Add(max(e.caller.Timeout, e.route.Timeout) + originMargin),
		})
	}
}
