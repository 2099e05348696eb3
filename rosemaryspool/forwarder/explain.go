package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"rosemaryspool.example/adaptor/bounder"
	"rosemaryspool.example/adaptor/verifier"
	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/matcher"
	"rosemaryspool.example/platform"
)

const (
	// ExplainPath is the path of requests for an explanation, for operators and between instances.
	ExplainPath = "/explain"
	// explainTimeout bounds the question to an arbiter.
	explainTimeout = 500 * time.Millisecond
	// maxExplanationBytes bounds its answer; one upstream takes a few hundred bytes.
	maxExplanationBytes = 4 << 20
	// maxErrorBytes bounds the text of an error.
	maxErrorBytes = 4 << 10
)

// Explanation tells where a request would go now, and why.
type Explanation struct {
	ConfigurationVersion uint64              `json:"configurationVersion"`
	Route                string              `json:"route"`
	Services             []ExplainedService  `json:"services"`
	Account              identifier.CallerID `json:"account,omitempty"`
	Rank                 int                 `json:"rank"`
	// Decider is the instance that would decide: the service's arbiter, or this one.
	Decider identifier.InstanceID `json:"decider"`
	// Note says what the explanation lacks; empty if nothing.
	Note        string               `json:"note,omitempty"`
	Admitted    bool                 `json:"admitted"`
	Reason      allocator.Reason     `json:"reason,omitempty"`
	RetryAfter  string               `json:"retryAfter,omitempty"`
	Upstream    string               `json:"upstream,omitempty"`
	Prefiller   string               `json:"prefiller,omitempty"`
	PredictedMs float64              `json:"predictedMs"`
	QueuedMs    float64              `json:"queuedMs"`
	Tokens      identifier.Tokens    `json:"uncachedTokens"`
	Long        bool                 `json:"long"`
	Deferred    bool                 `json:"deferred"`
	Exceeds     bool                 `json:"exceedsShare"`
	Candidates  []ExplainedCandidate `json:"candidates"`
}

// ExplainedService is a service of the route.
type ExplainedService struct {
	Name   identifier.ServiceName `json:"name"`
	Weight float64                `json:"weight"`
}

// ExplainedCandidate is one upstream of the service that was weighed.
type ExplainedCandidate struct {
	Upstream    string            `json:"upstream"`
	DataCentre  string            `json:"dataCentre"`
	Role        string            `json:"role"`
	Excluded    string            `json:"excluded,omitempty"`
	PredictedMs float64           `json:"predictedMs"`
	CostMs      float64           `json:"costMs"`
	Cached      identifier.Tokens `json:"cachedTokens"`
	Requests    int               `json:"requests"`
	Slots       int               `json:"slots"`
	Queued      identifier.Tokens `json:"queuedTokens"`
	Pace        float64           `json:"pace"`
	TrialLimit  int               `json:"trialLimit,omitempty"`
}

// ExplainError says what is wrong with a question, and with which status it is answered.
type ExplainError struct {
	Status int
	Text   string
}

// Error returns the text.
func (e *ExplainError) Error() string { return e.Text }

// question is a request that is to be explained.
type question struct {
	exchange   *exchange
	service    identifier.ServiceName
	instance   identifier.InstanceID
	dataCentre identifier.DataCentre
	// relayed is true if another instance asks.
	relayed bool
}

// HandleExplain answers a question about a request that isn't sent, in JSON.
func (f *Forwarder) HandleExplain(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	x, err := f.explain(r.Context(), values)
	if err != nil {
		http.Error(w, err.Text, err.Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected; nothing else can be done.
	_ = json.NewEncoder(w).Encode(x)
}

func (f *Forwarder) explain(ctx context.Context, values url.Values) (*Explanation, *ExplainError) {
	q, failure := f.newQuestion(values)
	if failure != nil {
		return nil, failure
	}
	now := time.Now()
	self := f.governor.Self()
	note := ""
	if arbiters := f.governor.Arbiters(now, q.service, 1); !q.relayed && len(arbiters) > 0 &&
		arbiters[0].Instance != self.Instance {
		x, err := askArbiter(ctx, arbiters[0], self, values)
		if err == nil {
			return x, nil
		}
		note = fmt.Sprintf("arbiter %s did not answer (%v); what this instance would decide alone", arbiters[0].Instance, err)
	}
	request := q.exchange.placementRequest()
	request.RateShare = 1
	if note != "" {
		request.RateShare = 1 / float64(f.governor.Instances())
	}
	x := q.describe(f.governor.Explain(now, q.instance, q.dataCentre, request))
	x.Decider, x.Note = self.Instance, note
	return x, nil
}

// newQuestion checks a question and finds the request's route, account and service.
func (f *Forwarder) newQuestion(values url.Values) (*question, *ExplainError) {
	invalid := func(format string, arguments ...any) (*question, *ExplainError) {
		return nil, &ExplainError{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, arguments...)}
	}
	host, path := values.Get("host"), values.Get("path")
	if host == "" || path == "" || path[0] != '/' {
		return invalid("host and path are required, and the path begins with a slash")
	}
	table := f.governor.Table()
	if table == nil {
		return nil, &ExplainError{Status: http.StatusServiceUnavailable, Text: "this instance has no configuration yet"}
	}
	route, found := table.Match(host, path)
	if !found {
		return nil, &ExplainError{Status: http.StatusNotFound, Text: fmt.Sprintf("no route for host %s and path %s", host, path)}
	}
	caller, err := platform.DecodeDescription(values)
	if err != nil {
		return invalid("%v", err)
	}
	q := &question{
		instance: identifier.InstanceID(values.Get("instance")), dataCentre: identifier.DataCentre(values.Get("dataCentre")),
		relayed: values.Get("relayed") != "",
	}
	if q.dataCentre == "" {
		q.dataCentre = f.governor.Self().DataCentre
	}
	e := &exchange{forwarder: f, started: time.Now(), caller: caller, version: table.Configuration().Version}
	e.setRoute(route)
	if name := values.Get("account"); name != "" {
		account, known := table.CallerByID(identifier.CallerID(name))
		if !known {
			return invalid("no account %s in configuration %d", name, e.version)
		}
		e.account = account
	}
	if table.NeedsKeys() && !route.Public && e.account == nil {
		return invalid("the route needs an account")
	}
	heaviest := slices.MaxFunc(route.Services, func(x, y matcher.WeightedService) int {
		return int(x.Weight*1000) - int(y.Weight*1000)
	})
	q.service = heaviest.Service
	if name := values.Get("service"); name != "" {
		q.service = identifier.ServiceName(name)
		if !slices.ContainsFunc(route.Services, func(s matcher.WeightedService) bool { return s.Service == q.service }) {
			return invalid("route %s has no service %s", route.Name, name)
		}
	}
	e.service = q.service
	e.engine = table.Configuration().Services[q.service].IsEngine
	e.setTimes(false)
	q.exchange = e
	return q, nil
}

// askArbiter asks the arbiter of a service, which knows the work of all instances.
func askArbiter(
	ctx context.Context, arbiter, self elector.Member, values url.Values,
) (*Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	asked := url.Values{"relayed": {"1"}, "instance": {string(self.Instance)}, "dataCentre": {string(self.DataCentre)}}
	for name, value := range values {
		if asked.Get(name) == "" {
			asked[name] = value
		}
	}
	return FetchExplanation(ctx, arbiter.Address, asked)
}

// explainClient keeps no connection: questions are rare.
var explainClient = &http.Client{Transport: verifier.NewTransport(&http.Transport{
	DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true, DisableCompression: true,
	MaxResponseHeaderBytes: 16 << 10,
})}

// FetchExplanation asks the instance at an address of the form IP:PORT.
func FetchExplanation(ctx context.Context, address string, values url.Values) (*Explanation, error) {
	request, err := http.NewRequestWithContext(
		ctx, http.MethodGet, "http://"+address+ExplainPath+"?"+values.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	response, err := explainClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("explain: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		// The status says enough where the text can't be read.
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, fmt.Errorf("explain: status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	}
	body, err := bounder.ReadAll(response.Body, maxExplanationBytes)
	if err != nil {
		return nil, fmt.Errorf("explain: read the answer: %w", err)
	}
	x := &Explanation{}
	if err := json.Unmarshal(body, x); err != nil {
		return nil, fmt.Errorf("explain: decode the answer: %w", err)
	}
	return x, nil
}

func (q *question) describe(a allocator.Explanation) *Explanation {
	e := q.exchange
	x := &Explanation{
		ConfigurationVersion: e.version, Route: e.route.Name, Account: e.callerID(), Rank: e.rank(),
		Admitted: a.Upstream != "", Reason: a.Reason, Upstream: string(a.Upstream), Prefiller: string(a.Prefiller),
		PredictedMs: inMs(a.Predicted), QueuedMs: inMs(a.Queued), Tokens: a.Tokens, Long: a.Long, Deferred: a.Deferred,
		Exceeds: a.ExceedsShare,
	}
	if !x.Admitted {
		x.RetryAfter = a.RetryAfter.String()
	}
	for _, s := range e.route.Services {
		x.Services = append(x.Services, ExplainedService{Name: s.Service, Weight: s.Weight})
	}
	for _, c := range a.Candidates {
		x.Candidates = append(x.Candidates, ExplainedCandidate{
			Upstream: string(c.Upstream), DataCentre: string(c.DataCentre), Role: c.Role.String(), Excluded: c.Excluded,
			PredictedMs: inMs(c.Predicted), CostMs: inMs(c.Cost), Cached: c.Cached,
			Requests: c.Load.Requests(), Slots: c.Slots, Queued: c.Load.QueuedPrefill,
			Pace: c.Pace, TrialLimit: c.TrialLimit,
		})
	}
	return x
}

func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
