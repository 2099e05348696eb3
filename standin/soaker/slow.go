package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"rosemaryspool.example/standin/emulator"
)

const (
	// slowCallers is the number of callers that read or send some bytes at a time, each slowInterval, and give up after
	// slowPatience.
	slowCallers  = 4
	slowBytes    = 512
	slowInterval = 50 * time.Millisecond
	slowPatience = 3 * time.Second
	// slowBody is the length of the bodies that they send, of which they never send the whole.
	slowBody = 256 << 10
	// memoryLimit is the memory of each gateway as written into its settings, in megabytes.
	memoryLimit = 128
	// releaseLimit is how long after the last request gateways may still hold memory for requests.
	releaseLimit = 5 * time.Second
	// heldMetric is the gauge of that memory, metricsPort the port at which it is read.
	heldMetric  = "heldBytes"
	metricsPort = 9464
)

// runSlowly sends requests whose responses are read slowly, in turn with ones whose bodies are sent slowly. Only those of
// the first kind may reach upstreams.
func (c *caller) runSlowly(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		a := &attempt{
			id: fmt.Sprintf("%s-%d", c.name, n), kind: kindNamed("lookups"), instance: c.random.IntN(len(c.targets)),
			uri: fmt.Sprintf("%s?n=%d", emulator.LargePath, n), abandoned: true, key: c.keys.pick(c.number, -1),
		}
		if n%2 == 1 {
			a.kind, a.uri = kindNamed("orders"), fmt.Sprint("/orders/slow?n=", n)
		}
		c.record(a)
		a.sent = time.Now()
		err := c.crawl(ctx, a)
		a.ended = time.Now()
		if err != nil {
			// The gateway is away or has ended the connection, which it may do to slow callers.
			sleep(ctx, longPause)
		}
	}
}

func (c *caller) crawl(ctx context.Context, a *attempt) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.targets[a.instance])
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(slowPatience)); err != nil {
		return err
	}
	// Little is buffered on the way, so that the gateway notices that the caller is slow.
	if err := conn.(*net.TCPConn).SetReadBuffer(slowBytes); err != nil {
		return err
	}
	length := 0
	if a.kind.method == http.MethodPost {
		length = slowBody
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		a.kind.method, a.uri, host, emulator.HeaderAttempt, a.id, emulator.HeaderKey, a.key.text,
		emulator.HeaderPin, forgedPin, length); err != nil {
		return err
	}
	piece := make([]byte, slowBytes)
	for ctx.Err() == nil {
		if length > 0 {
			_, err = conn.Write(piece)
		} else {
			_, err = conn.Read(piece)
		}
		if err != nil {
			return err
		}
		sleep(ctx, slowInterval)
	}
	return nil
}

func newSlowCaller(i int, random *rand.Rand, targets []string, keys *keyring) *caller {
	c := newCaller(fmt.Sprint("s", i), random, targets)
	c.keys = keys
	return c
}

// auditMemory waits until no gateway holds memory for requests any more. It returns a violation for each that still does
// after releaseLimit.
func (s *Soaker) auditMemory(ctx context.Context) []Violation {
	var violations []Violation
	until := time.Now().Add(releaseLimit)
	for _, p := range s.processes {
		for {
			held, err := s.heldBytes(p)
			if err == nil && held == "0" {
				break
			}
			if time.Now().After(until) || ctx.Err() != nil {
				violations = append(violations, Violation{
					InvariantReleased, p.name, fmt.Sprintf("holds %q bytes %v after the last request: %v", held, releaseLimit, err),
				})
				break
			}
			sleep(ctx, shortGap)
		}
	}
	return violations
}

// heldBytes returns the value of the gauge heldMetric of a gateway; empty if there is none.
func (s *Soaker) heldBytes(p *process) (string, error) {
	response, err := s.client.Get("http://" + p.address(metricsPort) + "/metrics")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, heldMetric+" "); found {
			return strings.TrimSpace(value), nil
		}
	}
	return "", nil
}
