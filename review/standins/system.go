package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	routeHost    = "ficu95.example"
	stopLimit    = 8 * time.Second
	startLimit   = 15 * time.Second
	operatorTime = 50 * time.Millisecond
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// process is a program that the case has started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// system is one small deployment: the store, gateways and servers, on loopback addresses of its own.
type system struct {
	record    *record
	directory string
	prefix    string
	store     *store
	storeAddr string
	mu        sync.Mutex
	processes []*process
	// lines receives what servers print about the requests that they run.
	lines chan string
}

func newSystem(r *record) (*system, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{
		record: r, directory: directory, store: newStore(), lines: make(chan string, 4096),
		// A loopback network of its own keeps the gateways' fixed metrics port free.
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	listener, err := net.Listen("tcp", s.prefix+"2:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	return s, nil
}

// configure writes a configuration as the operator does.
func (s *system) configure(configuration map[string]any) {
	content, _ := json.Marshal(configuration)
	s.store.put("keyed.op", "config", content)
	s.record.line("operator: configuration %v is confirmed", configuration["version"])
}

// start starts a program. Its lines that begin with "server" go to the record.
func (s *system) start(name string, env []string, arguments ...string) (*process, error) {
	c := exec.Command(arguments[0], arguments[1:]...)
	c.Env = append(os.Environ(), env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c.Stderr = log
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: c, done: make(chan struct{})}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			text := lines.Text()
			if strings.HasPrefix(text, "server ") {
				s.record.line("%s", text)
				s.lines <- text
				continue
			}
			fmt.Fprintln(log, text)
		}
		_ = c.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// kill ends a process at once.
func (s *system) kill(p *process) {
	s.record.line("trouble: SIGKILL to %s", p.name)
	_ = p.command.Process.Kill()
	<-p.done
}

// gateway is one instance of the system under review.
type gateway struct {
	*process
	ip, frontend, ready string
}

// startGateway starts an instance with the command of the deploy file.
func (s *system) startGateway(number int, zone string) (*gateway, error) {
	ip := fmt.Sprintf("%s%d", s.prefix, 10+number)
	g := &gateway{ip: ip, frontend: ip + ":8144", ready: ip + ":8140"}
	settings := map[string]any{
		"node-name": fmt.Sprintf("edge-%s-%d", zone, number), "role": "gateway", "machine-class": "edge",
		"serves": []string{"edge", "control"}, "ip": ip, "zone": zone, "region": "sicilia", "zones": map[string]string{
			"palermo": "sicilia", "catania": "sicilia", "messina": "sicilia", "siracusa": "sicilia",
		},
		"listen":              map[string]string{"frontend": g.frontend, "ready": g.ready, "control-plane": ip + ":8146"},
		"internal-port-range": []int{7660, 7675}, "seed-nodes": []string{s.prefix + "10:8146"}, "bootstrap": true,
		"limits": map[string]any{
			"cpu-fraction": 0.4, "cpu-cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0,
		},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
			"retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-budget-extra": 52, "recovery-s": 12,
			"max-transit-ms": 120, "retry-after-s": 3, "fencing-enforced": true, "lease-ms": 3000, "thaw-ms": 300,
		},
		"platform": map[string]any{
			"address": s.storeAddr, "form": "log", "writes-per-s": 400, "reads-per-s": 2000, "parts": 16, "append-ms": 3.0,
			"partition-mb-s": 20.0, "read-mb-s": 80.0, "record-bytes": 262144, "request-bytes": 2097152, "keep_s": 300,
			"partition-mb": 200, "min-ttl-ms": 1000,
		},
	}
	content, _ := json.Marshal(settings)
	path := filepath.Join(s.directory, fmt.Sprintf("gateway-%d.json", number))
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	p, err := s.start(fmt.Sprintf("gateway-%d", number), []string{"ROSEMARYSPOOL_CONFIG=" + path},
		"target/rosemaryspool", "gateway")
	g.process = p
	return g, err
}

// startGateways starts an instance in each zone and waits until all are ready.
func (s *system) startGateways(zones []string) ([]*gateway, error) {
	var gateways []*gateway
	for i, zone := range zones {
		g, err := s.startGateway(i, zone)
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// awaitReady waits until an instance says that it is ready.
func (g *gateway) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(operatorTime) {
		response, err := client.Get("http://" + g.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway at %s is not ready", g.ip)
}

// startServer starts a server process of this program and registers it in the store, as servers do.
func (s *system) startServer(number int, service, zone string, arguments ...string) (*process, error) {
	listener, err := net.Listen("tcp", s.prefix+"3:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	_ = listener.Close()
	id := fmt.Sprintf("i-%04d%04x", number, rand.IntN(1<<16))
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := s.start("server-"+id, nil, append([]string{self, "server", id, address}, arguments...)...)
	if err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	stage := ""
	if len(arguments) > 0 {
		stage = "decode"
	}
	go func() {
		for sequence := 0; p.running(); sequence++ {
			fields := map[string]any{
				"service": service, "address": address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
				"cold-remaining-ms": 0, "sequence": sequence, "born": born,
			}
			if stage != "" {
				fields["stage"] = stage
			}
			entry, _ := json.Marshal(fields)
			s.store.put("keyed.servers", id, entry)
			time.Sleep(1200 * time.Millisecond)
		}
		// The entry of a server that has ended is removed after three status report intervals.
		time.Sleep(2400 * time.Millisecond)
		s.store.put("keyed.servers", id, nil)
	}()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(operatorTime) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			return p, nil
		}
	}
	return nil, fmt.Errorf("server %s does not listen", id)
}

// stop ends all processes that the case has started.
func (s *system) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.running() {
			_ = p.command.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.directory)
	}
}
