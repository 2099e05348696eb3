package soaker

import (
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with bytes.
type proxyMode int

const (
	modeForward proxyMode = iota
	// delays holds every piece back for proxyDelay.
	modeDelay
	// silences takes connections and bytes and passes nothing on.
	modeBlackhole
	// cutsRequests and cutsAnswers pass bytes on in one direction alone.
	modeDropRequests
	modeDropAnswers
)

// proxyDelay is far above the time of a calm answer and below the bounds for changes.
const proxyDelay = 150 * time.Millisecond

// proxy stands on the way to one address.
type proxy struct {
	listener net.Listener
	target   string
	done     chan struct{}

	mu    sync.Mutex
	mode  proxyMode
	connections map[net.Conn]net.Conn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, done: make(chan struct{}), connections: map[net.Conn]net.Conn{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	defer close(p.done)
	var passing sync.WaitGroup
	defer passing.Wait()
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			// The target is gone; so is the caller's connection.
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.connections[near] = far
		p.mu.Unlock()
		passing.Go(func() { p.relay(near, far, modeDropRequests) })
		passing.Go(func() { p.relay(far, near, modeDropAnswers) })
	}
}

// pass copies bytes until either side ends.
func (p *proxy) relay(from, to net.Conn, cut proxyMode) {
	defer func() {
		// Both directions close both ends; the second close reports only that.
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.connections, from)
		delete(p.connections, to)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch mode := p.currentMode(); mode {
			case modeBlackhole, cut:
				continue
			case modeDelay:
				time.Sleep(proxyDelay)
			default:
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set switches the mode. Connections from which bytes were lost can't go on and are reset when bytes pass again.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	before := p.mode
	p.mode = mode
	p.mu.Unlock()
	if mode == modeForward && before != modeDelay {
		p.reset()
	}
}

// reset ends all connections without a proper close.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for near, far := range p.connections {
		for _, c := range []net.Conn{near, far} {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
	<-p.done
}
