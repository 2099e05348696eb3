package commander

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gatekeeper"
)

// logBuffer collects log lines; it is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// hasLine reports whether one line contains all the parts.
func (l *logBuffer) hasLine(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.buffer.String()) {
		found := 0
		for _, p := range parts {
			if strings.Contains(line, p) {
				found++
			}
		}
		if found == len(parts) {
			return true
		}
	}
	return false
}

// settingsFormat is a settings file with verbs for its zone and its grace-s.
const settingsFormat = `{"node-name":"spool-1","ip":"127.0.0.1","zone":%q,"listen":{"frontend":"127.0.0.1:0","ready":"127.0.0.1:0"},
"internal-port-range":[0,0],"platform":{"address":"127.0.0.1:9"},"bounds":{"drain-ms":2000,"config-apply-ms":2000,
"grace-s":%d,"retry-budget-ratio":0.2,"retry-budget-extra":50,"retry-window-s":10}}`

func TestGatewayReloadsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(content string) { require.NoError(t, os.WriteFile(path, []byte(content), 0o600)) }
	write(fmt.Sprintf(settingsFormat, "here", 8))
	settings, err := platform.ReadSettings(path)
	require.NoError(t, err)
	settings.MetricsAddress = "127.0.0.1:0"
	current := settings
	current.MetricsAddress = "127.0.0.1:9464"
	g, err := gatekeeper.NewGatekeeper(settings, gatekeeper.NewNetwork(), zerolog.Nop(), metrics.NewRegistry())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- g.Run(ctx) }()
	defer func() {
		cancel()
		require.NoError(t, <-runResult)
	}()
	log := &logBuffer{}
	reload := make(chan os.Signal, 1)
	go watchSettings(g, current, path, reload, zerolog.New(log))
	for _, c := range []struct {
		name    string
		content string
		signal  bool
		want    []string
	}{
		{
			"signal without a change", fmt.Sprintf(settingsFormat, "here", 8), true,
			[]string{`"changed":false`, `"signaled":true`},
		},
		{
			"change without a signal", fmt.Sprintf(settingsFormat, "here", 1), false,
			[]string{`"changed":true`, `"signaled":false`},
		},
		{"truncated file", "{", true, []string{"settingsUnreadable"}},
		{
			"change that needs a restart", fmt.Sprintf(settingsFormat, "there", 1), true,
			[]string{`"restartNeeded":true`, `"signaled":true`},
		},
	} {
		write(c.content)
		if c.signal {
			reload <- syscall.SIGHUP
		}
		require.Eventually(t, func() bool {
			return log.hasLine(c.want...)
		}, 3*settingsPollInterval, 10*time.Millisecond, c.name)
	}
}

// A gateway ended when its settings changed while it was starting.
func TestGatewayThatIsSignaledWhileItStartsRuns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	// The gateway waits for the content of its settings.
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	log := &logBuffer{}
	gateway := exec.Command("rosemaryspool", "gateway", "--settings", path)
	gateway.Stdout, gateway.Stderr = log, log
	require.NoError(t, gateway.Start())
	ended := make(chan error, 1)
	go func() { ended <- gateway.Wait() }()
	defer func() {
		_ = gateway.Process.Kill()
		<-ended
	}()
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, gateway.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	_, err = fmt.Fprint(settings, strings.ReplaceAll(fmt.Sprintf(settingsFormat, "here", 8), "127.0.0.1", "127.62.0.1"))
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	require.Eventually(t, func() bool { return log.hasLine("event=started") }, 10*time.Second, 10*time.Millisecond)
	select {
	case err := <-ended:
		ended <- err
		require.Fail(t, "the gateway has ended", err)
	default:
	}
}
