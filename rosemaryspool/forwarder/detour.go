package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/tracker"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
)

const (
	// headerPassedOn marks a request that another instance passes on because it can't reach the upstreams itself.
	headerPassedOn = "X-Rosemaryspool-Passed-On"
	// headerDeclined marks the response of an instance that doesn't take such a request, with the reason. It has not run.
	headerDeclined = "X-Rosemaryspool-Declined"
	// headerRefusedBy names, beside headerDeclined, an upstream that has refused the request; there may be several.
	headerRefusedBy = "X-Rosemaryspool-Refused-By"
	// headerServedBy names the upstream that a response to such a request is from, as INCARNATION/ID.
	headerServedBy = "X-Rosemaryspool-Served-By"

	// declinedUpstreams is the reason of an instance that has tried to place the request, which then counts there for the
	// retry budget.
	declinedUpstreams = "upstreams"

	// maxPeers is the number of instances to which a request is passed on before this one tries the upstreams itself.
	maxPeers = 3
	// maxPeerConnections bounds the connections to one other instance.
	maxPeerConnections = 128
)

// passedOn is what an instance says of a request that it passes on.
type passedOn struct {
	instance identifier.InstanceID
	// configuration is the version in force at that instance; another one must not serve the request.
	configuration uint64
	// runs is the number of upstreams on which the request may have run.
	runs int
	// counted is true if the request counts for the retry budget already.
	counted bool
	// refusedBy holds the upstreams that have refused the request. Another send to one of them could be answered with a
	// copy of that refusal.
	refusedBy []identifier.UpstreamID
}

func (p passedOn) encode() string {
	values := url.Values{
		"instance": {string(p.instance)}, "configuration": {strconv.FormatUint(p.configuration, 10)},
		"runs": {strconv.Itoa(p.runs)}, "counted": {strconv.FormatBool(p.counted)},
	}
	for _, id := range p.refusedBy {
		values.Add("refusedBy", string(id))
	}
	return values.Encode()
}

func decodePassedOn(text string) (passedOn, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return passedOn{}, eris.Wrap(err, "forwarder: "+headerPassedOn)
	}
	p := passedOn{instance: identifier.InstanceID(values.Get("instance"))}
	if p.configuration, err = strconv.ParseUint(values.Get("configuration"), 10, 64); err != nil {
		return passedOn{}, eris.Wrap(err, "forwarder: configuration")
	}
	if p.runs, err = strconv.Atoi(values.Get("runs")); err != nil || p.runs < 0 {
		return passedOn{}, eris.Errorf("forwarder: runs %q", values.Get("runs"))
	}
	if p.counted, err = strconv.ParseBool(values.Get("counted")); err != nil {
		return passedOn{}, eris.Wrap(err, "forwarder: counted")
	}
	for _, id := range values["refusedBy"] {
		p.refusedBy = append(p.refusedBy, identifier.UpstreamID(id))
	}
	return p, nil
}

// PeerHandler returns the handler for requests that other instances pass on. They are never passed on again.
func (f *Forwarder) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ExplainPath && r.Header.Get(headerPassedOn) == "" {
			f.HandleExplain(w, r)
			return
		}
		origin, err := decodePassedOn(r.Header.Get(headerPassedOn))
		if err != nil {
			f.log.Warn().Err(err).Str("event", "passedOnUnreadable").Str("remote", r.RemoteAddr).
				Msg("Refusing a request that does not say who passes it on")
			http.Error(w, "not from an instance", http.StatusServiceUnavailable)
			return
		}
		r.Header.Del(headerPassedOn)
		f.handle(w, r, &origin)
	})
}

// decline has another instance serve a request that was passed on.
func (e *exchange) decline(reason string) result {
	e.writer.Header().Set(headerDeclined, reason)
	for _, id := range e.refusedBy {
		e.writer.Header().Add(headerRefusedBy, string(id))
	}
	return e.refuse("declined:"+reason, 0)
}

// detour passes the request on to another instance if no upstream can be reached from this one. It returns false if the
// request is to be sent from here.
func (e *exchange) detour() (result, bool) {
	if e.passedOn != nil || !e.response.IsUnwritten() || !e.forwarder.governor.PathLost(e.service) {
		return result{}, false
	}
	peers := e.forwarder.governor.Detours(time.Now(), maxPeers)
	if len(peers) > 0 && e.prefilled && !e.takeRetry() {
		return result{}, false
	}
	for _, peer := range peers {
		if r, done := e.passOn(peer); done {
			return r, true
		}
	}
	return result{}, false
}

// reroute passes on a request that can't be placed here and has not run, if others may reach upstreams that this instance
// doesn't. It returns false if the request is to be refused here.
func (e *exchange) reroute(cause string) (result, bool) {
	if !e.response.IsUnwritten() || e.runs > 0 || !isUnplaced(cause) || time.Until(e.deadline) < minTimeLeft {
		return result{}, false
	}
	now := time.Now()
	if e.passedOn != nil {
		if e.forwarder.governor.HasUnreachable(now, e.service) && e.takeReroute(cause) {
			return e.decline(declinedUpstreams), true
		}
		return result{}, false
	}
	peers := e.forwarder.governor.Reroutes(now, e.service, maxPeers)
	if len(peers) > 0 && !e.takeReroute(cause) {
		return result{}, false
	}
	for _, peer := range peers {
		r, done := e.passOn(peer)
		if done && r.outcome == outcomeRefused {
			e.forwarder.governor.RerouteFailed(now, e.service)
		}
		if done {
			return r, true
		}
	}
	if len(peers) > 0 {
		e.forwarder.governor.RerouteFailed(now, e.service)
	}
	return result{}, false
}

// takeReroute takes the retry that another instance is going to send from the budget. It returns false if none is left.
func (e *exchange) takeReroute(cause string) bool {
	// For the other causes, checkRetry has taken it, or nothing has arrived at an upstream but maybe a prefill. The other
	// instance doesn't know of that one and may have the prompt prefilled again.
	return cause != causeSendsUsed && !e.prefilled || e.takeRetry()
}

// isUnplaced reports whether a request was refused because none of the upstreams that this instance reaches can take it.
func isUnplaced(cause string) bool {
	switch cause {
	case string(allocator.ReasonNoUpstream), string(allocator.ReasonNoVersion), string(allocator.ReasonBusy), causeSendsUsed,
		causeUnsent:
		return true
	default:
		return false
	}
}

// passOn passes the request on to another instance and forwards the response. It returns false if the request may be sent
// elsewhere, because the other one has not run it or because it may run again.
func (e *exchange) passOn(peer elector.Member) (result, bool) {
	if cause := e.keyRefusal(); cause != "" {
		return e.giveUp(cause, startupRetryAfter, nil), true
	}
	e.last = attempt{peer: peer.Instance, sentAt: time.Now(), stopWatch: func() {}}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	response, err := e.forwarder.connector.Exchange(ctx, e.peerRequest(peer))
	declined := ""
	if err == nil {
		declined = response.Header.Get(headerDeclined)
	}
	e.recordSend(kindPassedOn, string(peer.Instance), e.last.sentAt, response, declined != "")
	if err != nil {
		e.last.err = err
		switch {
		case e.request.Context().Err() != nil:
			return e.endPassedOn(canceled)
		case connector.NotSent(err):
			e.forwarder.governor.Decline(time.Now(), peer.Instance, "unreachable")
			return result{}, false
		}
		return e.endPassedOn(maybeExecuted)
	}
	if declined != "" {
		response.Close(false)
		e.counted = e.counted || declined == declinedUpstreams
		for _, id := range response.Header.Values(headerRefusedBy) {
			e.recordRefusal(identifier.UpstreamID(id))
		}
		e.forwarder.governor.Decline(time.Now(), peer.Instance, declined)
		return result{}, false
	}
	metrics.GetOrRegisterCounter("requestsPassedOn", e.forwarder.registry).Inc(1)
	e.recordServer(response)
	e.last.status = response.Status
	end, _ := e.relay(ctx, response)
	return e.endPassedOn(end)
}

// peerRequest returns the request as it is passed on.
func (e *exchange) peerRequest(peer elector.Member) connector.Request {
	header := platform.EncodePeerHeaders(e.request.Header, time.Until(e.deadline))
	header.Set(headerPassedOn, passedOn{
		instance: e.forwarder.governor.Self().Instance, configuration: e.forwarder.governor.Table().Configuration().Version,
		runs: e.runs, counted: e.counted, refusedBy: e.refusedBy,
	}.encode())
	idle := maxIdleNonIdempotent
	if e.route.Idempotent {
		idle = maxIdleIdempotent
	}
	return connector.Request{
		Upstream: tracker.Entry{Address: peer.Address}, ID: e.caller.ID, Method: e.request.Method,
		URI: e.request.RequestURI, Host: e.request.Host, Header: header, Body: e.body, Limit: maxPeerConnections, MaxIdle: idle,
	}
}

// endPassedOn decides what follows from the end of a request that was passed on. The other instance's response is final:
// it has retried what may run again.
func (e *exchange) endPassedOn(end attemptResult) (result, bool) {
	switch end {
	case delivered:
		return result{outcome: outcomeOf(e.last.status), status: e.last.status, cause: "passedOn"}, true
	case canceled:
		return result{outcome: outcomeCanceled, cause: "callerLeft", abort: true}, true
	case truncated:
		e.response.Break()
		if e.forwarder.isStopped() {
			return e.giveUp(causeStopping, 0, nil), true
		}
		return result{outcome: outcomeFailed, cause: "peerBrokeOff", abort: true}, true
	default:
	}
	if e.ctx.Err() == nil {
		e.forwarder.governor.Decline(time.Now(), e.last.peer, "brokeOff")
	}
	e.runs++
	// The other instance may have counted the request.
	e.counted = true
	if cause := e.checkRetry(maybeExecuted); cause != "" {
		return e.giveUp(cause, 0, nil), true
	}
	return result{}, false
}

// outcomeOf returns the outcome of a response of another instance, which may be its own refusal.
func outcomeOf(status int) string {
	switch {
	case status < http.StatusBadRequest:
		return outcomeServed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return outcomeRefused
	default:
		return outcomeFailed
	}
}

// recordServer takes the upstream out of the header of a response to a request that was passed on, and applies what the
// upstream says of itself.
func (e *exchange) recordServer(response *connector.Response) {
	incarnation, id, _ := strings.Cut(response.Header.Get(headerServedBy), "/")
	response.Header.Del(headerServedBy)
	number, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		// The response is the other instance's own.
		return
	}
	e.last.entry = tracker.Entry{Upstream: identifier.UpstreamID(id), Incarnation: number}
	notice, own, err := platform.DecodeNotice(time.Now(), response.Status, response.Header)
	if own && err == nil && notice.Leaving {
		e.forwarder.governor.NoticeLeaving(e.last.entry)
	}
}

// nameServer marks an upstream's response for the instance that has passed the request on.
func (e *exchange) nameServer() {
	if e.passedOn != nil {
		e.writer.Header().Del(headerDeclined)
		e.writer.Header().Set(headerServedBy, fmt.Sprintf("%d/%s", e.last.entry.Incarnation, e.last.entry.Upstream))
	}
}
