package soaker

import (
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with the bytes that it receives.
type proxyMode int

const (
	modeForward proxyMode = iota
	// modeDelay forwards each chunk after proxyDelay.
	modeDelay
	// modeBlackhole accepts connections and discards all bytes.
	modeBlackhole
	// modeDropRequests and modeDropResponses discard the bytes of one direction only.
	modeDropRequests
	modeDropResponses
)

// proxyDelay is far longer than a response takes without faults, and shorter than the limits for changes.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy in front of one address that can delay, discard and reset traffic.
type proxy struct {
	listener net.Listener
	target   string
	done     chan struct{}

	mu          sync.Mutex
	mode        proxyMode
	connections map[net.Conn]net.Conn
}

// newProxy starts a proxy that listens at an IP address.
func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
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
	var relays sync.WaitGroup
	defer relays.Wait()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			// The target is unreachable, so the client's connection is closed too.
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.connections[client] = server
		p.mu.Unlock()
		relays.Go(func() { p.relay(client, server, modeDropRequests) })
		relays.Go(func() { p.relay(server, client, modeDropResponses) })
	}
}

// relay copies bytes until either connection ends. It discards them in modeBlackhole and in the given drop mode.
func (p *proxy) relay(from, to net.Conn, drop proxyMode) {
	defer func() {
		// Both directions close both connections, so the second close returns an error without meaning.
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
			case modeBlackhole, drop:
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

// setMode switches the mode. A return to modeForward resets the connections that lost bytes, as they can't recover.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	before := p.mode
	p.mode = mode
	p.mu.Unlock()
	if mode == modeForward && before != modeDelay {
		p.reset()
	}
}

// reset aborts all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for client, server := range p.connections {
		for _, c := range []net.Conn{client, server} {
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
