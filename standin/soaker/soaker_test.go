package soaker

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

// violatedInvariantVariable is the environment variable that turns this test program into a gateway which violates the
// invariant named by its value.
const violatedInvariantVariable = "SOAK_BROKEN_PROMISE"

func TestMain(m *testing.M) {
	if fault := os.Getenv(violatedInvariantVariable); fault != "" {
		runFaultyGateway(Invariant(fault))
		return
	}
	os.Exit(m.Run())
}

// noInvariant selects a gateway that violates no invariant. It guards against an audit that reports violations where
// there are none.
const noInvariant Invariant = "none"

func TestDetectsEachViolation(t *testing.T) {
	for i, invariant := range []Invariant{
		noInvariant, InvariantOnce, InvariantNotRun, InvariantOwnResponse, InvariantUnchanged, InvariantOrder,
		InvariantRoute, InvariantLeaving, InvariantBudget, InvariantStop, InvariantTimeout, InvariantAbandoned,
		InvariantRecovery, InvariantContained, InvariantSound, InvariantVersion, InvariantResumed,
		InvariantKey, InvariantDuty, InvariantReleased,
	} {
		t.Run(string(invariant), func(t *testing.T) {
			t.Parallel()
			program, err := os.Executable()
			require.NoError(t, err)
			rounds := 1
			if invariant == InvariantContained {
				// Upstreams must crash several times first.
				rounds = 3
			}
			s, err := NewSoaker(Settings{
				Accounts:      slices.Contains([]Invariant{InvariantKey, InvariantDuty, InvariantReleased}, invariant),
				FatalRequests: invariant == InvariantContained, MixedVersions: invariant == InvariantVersion,
				Seed: 3, Rounds: rounds, Gateways: 2, Callers: 16, Directory: t.TempDir(), Network: 100 + i, Log: io.Discard,
				Command: []string{"/usr/bin/env", fmt.Sprint(violatedInvariantVariable, "=", invariant), program},
			})
			require.NoError(t, err)
			defer s.Close()
			report, err := s.Run(context.Background())
			require.NoError(t, err)
			require.Greater(t, report.Served, 50)
			seen := map[Invariant]bool{}
			for _, v := range report.Violations {
				seen[v.Invariant] = true
			}
			if invariant == noInvariant {
				require.Empty(t, report.Violations)
				return
			}
			require.True(t, seen[invariant], "%v", report.Violations)
		})
	}
}

// faultyGateway is a minimal gateway that violates one invariant.
type faultyGateway struct {
	invariant Invariant
	store     string

	mu                sync.Mutex
	services          map[string][]string
	plainRouteService string
	next              atomic.Int64
}

func runFaultyGateway(invariant Invariant) {
	var settings struct {
		Listen   struct{ Frontend, Ready string }
		Platform struct{ Address string }
		CloudAPI struct{ Address string } `json:"cloud-api"`
		IP       string
	}
	path := os.Getenv("ROSEMARYSPOOL_CONFIG")
	content, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(content, &settings)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	// The marker file exists from the second start on.
	marker := path + ".started"
	_, markerErr := os.Stat(marker)
	_ = os.WriteFile(marker, nil, 0o600)
	g := &faultyGateway{invariant: invariant, store: settings.Platform.Address, services: map[string][]string{}}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	g.readServers()
	g.readConfiguration()
	go g.poll()
	if invariant == InvariantDuty {
		reportTwice(settings.CloudAPI.Address)
	}
	front := &http.Server{Handler: g}
	for _, l := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{settings.Listen.Frontend, front.Serve},
		{net.JoinHostPort(settings.IP, fmt.Sprint(metricsPort)), func(l net.Listener) error {
			return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintln(w, heldMetric, 1)
			}))
		}},
		{settings.Listen.Ready, func(l net.Listener) error {
			return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if invariant == InvariantRecovery && markerErr == nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
		}},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return
		}
		go func() { _ = l.serve(listener) }()
	}
	<-terminated
	if invariant != InvariantStop {
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		_ = front.Shutdown(ctx)
	}
}

// reportTwice sends two reports of one window that differ.
func reportTwice(address string) {
	for _, count := range []int{1, 2} {
		body := fmt.Sprintf(`{"window-id":1,"counts":{"account0":%d}}`, count)
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/usage", strings.NewReader(body))
		if err != nil {
			return
		}
		r.Header.Set(emulator.HeaderHolder, "gateway-1")
		r.Header.Set(emulator.HeaderToken, "1")
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}
}

func (g *faultyGateway) poll() {
	for {
		time.Sleep(300 * time.Millisecond)
		if g.invariant != InvariantLeaving {
			g.readServers()
		}
		if g.invariant != InvariantRoute {
			g.readConfiguration()
		}
	}
}

func (g *faultyGateway) fetchNewest(topic string) [][]byte {
	response, err := http.Get("http://" + g.store + "/-/log-newest?part=0&topic=" + topic)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var content struct{ Items []struct{ Value string } }
	_ = json.NewDecoder(response.Body).Decode(&content)
	var values [][]byte
	for _, item := range content.Items {
		value, _ := base64.StdEncoding.DecodeString(item.Value)
		values = append(values, value)
	}
	return values
}

func (g *faultyGateway) readServers() {
	services := map[string][]string{}
	for _, value := range g.fetchNewest(emulator.TopicServers) {
		var e struct{ Service, Address, State, Stage string }
		if json.Unmarshal(value, &e) == nil && e.State == "ready" && e.Stage != "prefill" {
			services[e.Service] = append(services[e.Service], e.Address)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.services = services
}

func (g *faultyGateway) readConfiguration() {
	for _, value := range g.fetchNewest(emulator.TopicConfiguration) {
		var c struct{ Routes []struct{ Service string } }
		if json.Unmarshal(value, &c) == nil && len(c.Routes) > 0 {
			g.mu.Lock()
			g.plainRouteService = c.Routes[0].Service
			g.mu.Unlock()
		}
	}
}

func (g *faultyGateway) target(path string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := g.plainRouteService
	if strings.HasPrefix(path, "/verdicts/") || strings.HasPrefix(path, "/notes/") {
		service = modelService
	}
	addresses := g.services[service]
	return addresses[int(g.next.Add(1))%len(addresses)]
}

// ServeHTTP implements http.Handler.
func (g *faultyGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	order := strings.HasPrefix(r.URL.Path, "/orders/")
	if g.invariant == InvariantTimeout && !order {
		time.Sleep(2700 * time.Millisecond)
	}
	if g.invariant == InvariantSound && !order && g.next.Add(1)%10 == 0 {
		http.Error(w, "quarantined", http.StatusServiceUnavailable)
		return
	}
	response := g.forward(r, body)
	if response == nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	switch {
	case g.invariant == InvariantOnce && order, g.invariant == InvariantBudget:
		_ = g.forward(r, body)
	case g.invariant == InvariantNotRun && order:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case g.invariant == InvariantStop:
		time.Sleep(300 * time.Millisecond)
	case g.invariant == InvariantAbandoned:
		time.Sleep(50 * time.Millisecond)
		if r.Context().Err() != nil {
			time.Sleep(time.Second)
			_ = g.forward(r, body)
		}
	}
	content := response.body
	if g.invariant == InvariantResumed && r.Header.Get(emulator.HeaderLastEvent) != "" {
		http.Error(w, "noVersion", http.StatusServiceUnavailable)
		return
	}
	if (g.invariant == InvariantVersion || g.invariant == InvariantResumed) && strings.HasPrefix(r.URL.Path, "/verdicts/") && r.Header.Get(emulator.HeaderLastEvent) == "" {
		w.Header().Set(emulator.HeaderSignature, response.header.Get(emulator.HeaderSignature))
		w.Header().Set("Content-Length", fmt.Sprint(len(content)))
		_, _ = io.WriteString(w, content[:strings.Index(content, "\n\n")+2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	switch g.invariant {
	case InvariantOwnResponse:
		content = strings.Replace(content, "whole", "other", 1)
	case InvariantOrder:
		content = strings.Replace(content, "id: 3\n", "id: 4\n", 1)
	default:
	}
	for name, values := range response.header {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(response.status)
	_, _ = io.WriteString(w, content)
}

type upstreamResponse struct {
	status int
	header http.Header
	body   string
}

func (g *faultyGateway) forward(r *http.Request, body []byte) *upstreamResponse {
	out, err := http.NewRequest(r.Method, "http://"+g.target(r.URL.Path)+r.RequestURI, strings.NewReader(string(body)))
	if err != nil {
		return nil
	}
	out.Header = r.Header.Clone()
	if g.invariant != InvariantUnchanged {
		out.Header.Del(emulator.HeaderPin)
	}
	response, err := http.DefaultClient.Do(out)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return &upstreamResponse{response.StatusCode, response.Header, string(content)}
}
