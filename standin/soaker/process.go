package soaker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// Limits of the platform, as written into the gateways' settings.
const (
	drainLimit  = 2 * time.Second
	applyLimit  = 2 * time.Second
	stopLimit   = 3 * time.Second
	retryRatio  = 0.2
	retryExtra  = 20
	retryWindow = 10 * time.Second
)

// Ports of each gateway. Gateways have different loopback addresses because the product fixes the metrics port.
const (
	callerPort = 8480
	readyPort  = 8481
	peerPort   = 8482
)

// process is a gateway process that can be stopped and restarted. It is signalled only by its own process ID.
type process struct {
	name    string
	ip      string
	command []string
	// first replaces command at the first start; empty if that starts command too.
	first      []string
	settings   string
	output     *os.File
	storeProxy *proxy
	// duties is the address of the platform's calls; empty if there are none, and accounts have no usage reported.
	duties string
	// enforced is true if the platform checks tokens.
	enforced bool

	mu      sync.Mutex
	running *exec.Cmd
	exited  chan struct{}
}

// gatewayName begins the names of gateways, before their numbers.
const gatewayName = "gateway-"

// newProcess returns a gateway's process, and starts the proxy through which this gateway alone reaches the store.
func newProcess(directory, name, ip, store string, command []string) (*process, error) {
	toStore, err := newProxy(ip, store)
	if err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, errors.Join(err, toStore.listener.Close())
	}
	return &process{
		name: name, ip: ip, command: command, settings: filepath.Join(directory, name+".json"), output: output,
		storeProxy: toStore,
	}, nil
}

// writeSettings writes the settings file. The revision goes into a field that the gateway ignores, to change the file's
// content.
func (p *process) writeSettings(revision int) error {
	bounds := map[string]any{
		"drain-ms": drainLimit.Milliseconds(), "config-apply-ms": applyLimit.Milliseconds(),
		"grace-s": stopLimit.Seconds(), "retry-budget-ratio": retryRatio, "retry-budget-extra": retryExtra,
		"retry-window-s": retryWindow.Seconds(),
	}
	settings := map[string]any{
		"node-name": p.name, "ip": p.ip, "zone": "here", "revision": revision,
		"listen":              map[string]any{"frontend": p.address(callerPort), "ready": p.address(readyPort)},
		"internal-port-range": []int{peerPort, peerPort + 10},
		"platform":            map[string]any{"address": p.storeProxy.address()},
		"bounds":              bounds,
	}
	if p.duties != "" {
		settings["cloud-api"] = map[string]any{"address": p.duties, "duties": []string{"metering"}, "duty-per-s": 50}
		settings["limits"] = map[string]any{"memory-mb": memoryLimit}
		bounds["fencing-enforced"] = p.enforced
		bounds["lease-ms"], bounds["thaw-ms"] = leaseLimit.Milliseconds(), thawLimit.Milliseconds()
		bounds["report-window-s"], bounds["usage-delay-s"] = reportWindow.Seconds(), reportDelay.Seconds()
		bounds["usage-error"] = usageTolerance
	}
	content, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, content, 0o600)
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return nil
	}
	command := p.command
	if len(p.first) > 0 {
		command, p.first = p.first, nil
	}
	c := exec.Command(command[0], command[1:]...)
	c.Env = append(os.Environ(), "ROSEMARYSPOOL_CONFIG="+p.settings)
	c.Stdout, c.Stderr = p.output, p.output
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.running, p.exited = c, exited
	go func() {
		// The exit status doesn't matter: the program logs why it ended, and the soak test restarts it either way.
		_ = c.Wait()
		p.mu.Lock()
		p.running = nil
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal if the program is running, and returns a channel that is closed when the program has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	// This fails if the program has just exited.
	_ = p.running.Process.Signal(s)
	return p.exited
}

// stop ends the program as the platform does: by SIGTERM, and by SIGKILL after stopLimit.
func (p *process) stop() {
	exited := p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopLimit):
		<-p.signal(syscall.SIGKILL)
	}
}

func (p *process) ready(client *http.Client) bool {
	response, err := client.Get("http://" + p.address(readyPort) + emulator.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) close() {
	p.signal(syscall.SIGCONT)
	<-p.signal(syscall.SIGKILL)
	p.storeProxy.close()
	_ = p.output.Close()
}
