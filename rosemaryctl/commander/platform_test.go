package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/adaptor/querier"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/rosemaryctl/follower"
	"rosemaryspool.example/standin/recorder"
	"rosemaryspool.example/standin/registrar"
	"rosemaryspool.example/standin/sampler"
	"rosemaryspool.example/standin/server"
	"rosemaryspool.example/wire/messenger"
)

// platform holds the stand-ins of one script.
type platform struct {
	log             *recorder.Log
	list            *registrar.List
	logURL          string
	done            chan struct{}
	instanceServers conc.WaitGroup

	mutex sync.Mutex
	// beforeAppend runs once, before the next append reaches the log.
	beforeAppend func()
	// inFlight is the number of requests in flight at each upstream, as every instance reports it.
	inFlight map[string]uint32
}

// platformKey is the key of the platform in the script's environment.
type platformKey struct{}

// startPlatform starts a log and an instance list and writes the sample document into the script's directory.
func startPlatform(env *testscript.Env) error {
	p := &platform{
		log: recorder.NewLog(recorder.Settings{AppendsPerSecond: 10_000}), list: registrar.NewList(registrar.Settings{}),
		done: make(chan struct{}), inFlight: map[string]uint32{},
	}
	logServer, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: p.interceptAppends(p.log.Handler())})
	if err != nil {
		return err
	}
	listServer, err := server.Start(server.Settings{Address: "127.0.0.1:0", Handler: p.list.Handler()})
	if err != nil {
		return err
	}
	env.Defer(func() {
		close(p.done)
		p.instanceServers.Wait()
		logServer.Close()
		listServer.Close()
	})
	p.logURL = logServer.URL()
	env.Setenv("ROSEMARYCTL_LOG", p.logURL)
	env.Setenv("ROSEMARYCTL_INSTANCES", listServer.URL())
	env.Setenv("ROSEMARYCTL_OPERATOR", "ayse")
	// The timeouts end a test that hangs. A passing test never waits for them, not even on a slow machine.
	env.Setenv("ROSEMARYCTL_WAIT", "5m")
	env.Setenv("ROSEMARYCTL_SETTLE", "0s")
	env.Setenv("ROSEMARYCTL_TIMEOUT", "10m")
	env.Setenv("ROSEMARYCTL_CALL_TIMEOUT", "1m")
	env.Values[platformKey{}] = p
	return os.WriteFile(filepath.Join(env.WorkDir, "trial.yaml"), sampler.Kalipci(), 0o600)
}

// interceptAppends runs beforeAppend between a client's decision and its append, as a competing operator might act.
func (p *platform) interceptAppends(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			p.mutex.Lock()
			beforeAppend := p.beforeAppend
			p.beforeAppend = nil
			p.mutex.Unlock()
			if beforeAppend != nil {
				beforeAppend()
			}
		}
		next.ServeHTTP(w, r)
	})
}

func platformOf(ts *testscript.TestScript) *platform {
	return ts.Value(platformKey{}).(*platform)
}

// startInstances starts instances of an environment: instances ENVIRONMENT COUNT.
func startInstances(ts *testscript.TestScript, _ bool, args []string) {
	p := platformOf(ts)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		id := fmt.Sprintf("%s-%d", args[0], i+1)
		peer := &instance{platform: p, id: id, environment: identifier.Environment(args[0])}
		p.instanceServers.Go(func() { _ = querier.Serve(listener, peer, p.done) })
		p.list.Set(lister.Member{ID: id, Kind: lister.KindInstance, DataCentre: "marmara-a", PeerAddress: listener.Addr().String()})
	}
}

// setFault injects a fault into the log: fault outage|loseAnswers|dropAppends|none.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]recorder.Faults{
		"outage": {Outage: true}, "loseAnswers": {LoseAnswers: 1}, "dropAppends": {DropAppends: 1}, "none": {},
	}
	fault, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("unknown fault %s", args[0])
	}
	platformOf(ts).log.Switches.Set(fault)
}

// setCompetingChange makes another operator run a command right before the next append:
// rival OPERATOR COMMAND ARGUMENTS.
func setCompetingChange(ts *testscript.TestScript, _ bool, args []string) {
	p := platformOf(ts)
	arguments := append([]string{"rosemaryctl"}, args[1:]...)
	arguments = append(arguments, "--log", p.logURL, "--operator", args[0], "--wait", "0s")
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.beforeAppend = func() { run(context.Background(), arguments, io.Discard, io.Discard) }
}

// setInFlight sets the number of requests in flight at an upstream: busy UPSTREAM COUNT.
func setInFlight(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	p := platformOf(ts)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.inFlight[args[0]] = uint32(count)
}

// trimLog drops the records of an environment before an offset: trim ENVIRONMENT OFFSET.
func trimLog(ts *testscript.TestScript, _ bool, args []string) {
	offset, err := strconv.Atoi(args[1])
	ts.Check(err)
	platformOf(ts).log.Trim(appender.ControlStream(identifier.Environment(args[0])), identifier.Offset(offset))
}

// editFile copies a file with the first occurrence of a text replaced: edit FROM TO OLD NEW. In both texts, \n is a
// newline.
func editFile(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	old, next := strings.ReplaceAll(args[2], `\n`, "\n"), strings.ReplaceAll(args[3], `\n`, "\n")
	if !strings.Contains(text, old) {
		ts.Fatalf("%s does not contain %q", args[0], old)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(strings.Replace(text, old, next, 1)), 0o600))
}

// instance is a stand-in for one of the system's instances. It replays the complete log for each call.
type instance struct {
	platform    *platform
	id          string
	environment identifier.Environment
}

func (i *instance) replay(ctx context.Context) (*replayer.State, error) {
	reader := follower.NewFollower(i.platform.log, i.environment, nil)
	err := reader.Refresh(ctx, 0)
	return reader.State(), err
}

// Bootstrap returns a snapshot of the instance's state.
func (i *instance) Bootstrap(ctx context.Context, _ *messenger.BootstrapRequest) (*messenger.BootstrapReply, error) {
	state, err := i.replay(ctx)
	if err != nil {
		return nil, err
	}
	snapshot, err := state.Snapshot()
	if err != nil {
		return nil, err
	}
	return &messenger.BootstrapReply{
		NextOffset: snapshot.GetNextOffset(), State: snapshot.GetState(), Checksum: snapshot.GetChecksum(), Instance: i.id,
	}, nil
}

// Relay does nothing: the operators' client never calls it.
func (i *instance) Relay(context.Context, *messenger.RelayRequest) (*messenger.RelayReply, error) {
	return &messenger.RelayReply{}, nil
}

// Status returns the revision in force and the status of each engine.
func (i *instance) Status(ctx context.Context, request *messenger.StatusRequest) (*messenger.InstanceStatus, error) {
	state, err := i.replay(ctx)
	status := &messenger.InstanceStatus{
		Instance: i.id, Environment: string(i.environment), Revision: uint64(state.Revision()), Digest: state.Digest(),
		NextOffset: uint64(state.Next()), LogReachable: err == nil,
	}
	document := state.Document()
	if document == nil {
		return status, nil
	}
	if request.GetRequestId() == "request-1" {
		status.Decisions = []string{"request=request-1 cause=leastHarm upstream=prova-2"}
	}
	i.platform.mutex.Lock()
	defer i.platform.mutex.Unlock()
	for _, e := range document.Engines {
		status.Upstreams = append(status.Upstreams, i.describe(state, document, e))
	}
	return status, nil
}

func (i *instance) describe(state *replayer.State, document *configurer.Document, engine configurer.Engine) *messenger.UpstreamStatus {
	model, _ := document.Model(engine.Model)
	status := &messenger.UpstreamStatus{
		Upstream: string(engine.ID), Kind: "engine", Role: string(engine.Role), Model: string(model.Name),
		Version: string(model.Version), State: "inService", InFlight: i.platform.inFlight[string(engine.ID)],
	}
	if plan, ok := state.Plan(engine.ID); ok && plan.Draining() {
		status.State = "leaving"
	}
	return status
}
