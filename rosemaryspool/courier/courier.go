// Package courier carries datagrams between instances.
package courier

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// MaxDatagramBytes is the maximum size of a datagram; it fits into one packet at the usual MTU of 1500 bytes.
const MaxDatagramBytes = 1400

// receiveErrorPause is the wait after a failed receive.
const receiveErrorPause = 300 * time.Millisecond

// Received is a datagram with its sender.
type Received struct {
	At     time.Time
	Sender elector.Member
	// Leaving is true when the sender is stopping, Warming when it has started recently.
	Leaving bool
	Warming bool
	// Configuration is the version of the configuration that is in force at the sender; zero if unknown.
	Configuration uint64
	Datagram      *messenger.Datagram
}

// Socket sends and receives the packets that carry datagrams.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Listen opens a UDP socket at an address of the form IP:PORT.
func Listen(address string) (Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "courier: address")
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrap(err, "courier: listen")
	}
	return socket, nil
}

// Courier sends and receives datagrams. Its methods are safe for concurrent use.
type Courier struct {
	self     elector.Member
	socket   Socket
	log      zerolog.Logger
	registry metrics.Registry
	// formats holds, by instance, the formats of records that it reads, as its last datagram said.
	formats sync.Map
	leaving atomic.Bool
	warming atomic.Bool
	// configuration is the version in force, which all datagrams name.
	configuration atomic.Uint64
	done          chan struct{}
}

// NewCourier returns a courier that sends and receives over the socket at this instance's address. It closes the socket.
func NewCourier(self elector.Member, socket Socket, log zerolog.Logger, registry metrics.Registry) *Courier {
	return &Courier{self: self, socket: socket, log: log, registry: registry, done: make(chan struct{})}
}

// Close closes the socket of a courier that was never run.
func (c *Courier) Close() error { return c.socket.Close() }

// Done is closed when Run has returned.
func (c *Courier) Done() <-chan struct{} { return c.done }

// Leave marks all further datagrams as those of an instance that is stopping.
func (c *Courier) Leave() { c.leaving.Store(true) }

// SetWarming sets whether further datagrams are those of an instance that has started recently.
func (c *Courier) SetWarming(warming bool) { c.warming.Store(warming) }

// SetConfiguration sets the version of the configuration in force that further datagrams name.
func (c *Courier) SetConfiguration(version uint64) { c.configuration.Store(version) }

// LocalAddress returns the address of the socket.
func (c *Courier) LocalAddress() string { return c.socket.LocalAddr().String() }

// Send sends a datagram with this instance as its sender. A datagram that can't be sent is logged and lost, like one that
// is lost on the way.
func (c *Courier) Send(to elector.Member, d *messenger.Datagram) {
	d.Instance, d.StartedMs, d.Address = string(c.self.Instance), c.self.StartedMs, c.self.Address
	d.DataCentre, d.Capacity, d.Leaving = string(c.self.DataCentre), uint32(c.self.Capacity), c.leaving.Load()
	d.Warming, d.ReadsPacked, d.ReadsChanges = c.warming.Load(), true, true
	d.Configuration = c.configuration.Load()
	content, err := proto.Marshal(d)
	if err != nil || len(content) > MaxDatagramBytes {
		c.log.Error().Err(err).Str("event", "datagramDropped").Str("peer", string(to.Instance)).Int("bytes", len(content)).
			Msg("Datagram can't be encoded or is too large; not sent")
		return
	}
	address, err := netip.ParseAddrPort(to.Address)
	if err == nil {
		_, err = c.socket.WriteToUDPAddrPort(content, address)
	}
	if err != nil {
		c.log.Debug().Err(err).Str("event", "datagramDropped").Str("peer", string(to.Instance)).
			Msg("Sending a datagram failed")
		return
	}
	c.count("sent", d, len(content))
}

// ReadsPacked reports whether an instance is known to read packed records: not one of the version before, nor one that has
// sent nothing yet.
func (c *Courier) ReadsPacked(id identifier.InstanceID) bool { return c.formatsOf(id).packed }

// ReadsChanges is the same for records as changes of the ones before them.
func (c *Courier) ReadsChanges(id identifier.InstanceID) bool { return c.formatsOf(id).changes }

// recordFormats tells which formats of records an instance reads beside the plain one.
type recordFormats struct{ packed, changes bool }

func (c *Courier) formatsOf(id identifier.InstanceID) recordFormats {
	if known, found := c.formats.Load(id); found {
		return known.(recordFormats)
	}
	return recordFormats{}
}

// Run passes each received datagram to handle until ctx ends. Datagrams of this instance itself are dropped.
func (c *Courier) Run(ctx context.Context, handle func(Received)) {
	defer close(c.done)
	// Closing the socket ends a pending read.
	stop := context.AfterFunc(ctx, func() { _ = c.socket.Close() })
	defer stop()
	buffer := make([]byte, MaxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				c.log.Warn().Err(err).Str("event", "datagramsUnreadable").Msg("Receiving datagrams failed")
				time.Sleep(receiveErrorPause)
			}
			continue
		}
		r, err := decode(buffer[:n])
		if err != nil {
			c.log.Warn().Err(err).Str("event", "datagramUnreadable").Int("bytes", n).Msg("Skipping an invalid datagram")
			continue
		}
		if r.Sender.Instance != c.self.Instance {
			c.count("received", r.Datagram, n)
			c.formats.Store(r.Sender.Instance, recordFormats{
				packed: r.Datagram.GetReadsPacked(), changes: r.Datagram.GetReadsChanges(),
			})
			handle(r)
		}
	}
}

func decode(content []byte) (Received, error) {
	d := &messenger.Datagram{}
	if err := proto.Unmarshal(content, d); err != nil {
		return Received{}, eris.Wrap(err, "courier: decode")
	}
	if _, err := netip.ParseAddrPort(d.GetAddress()); err != nil {
		return Received{}, eris.Wrapf(err, "courier: address of %q", d.GetInstance())
	}
	return Received{
		At: time.Now(),
		Sender: elector.Member{
			Instance: identifier.InstanceID(d.GetInstance()), DataCentre: identifier.DataCentre(d.GetDataCentre()),
			Address: d.GetAddress(), Capacity: int(d.GetCapacity()), StartedMs: d.GetStartedMs(),
		},
		Leaving: d.GetLeaving(), Warming: d.GetWarming(), Configuration: d.GetConfiguration(), Datagram: d,
	}, nil
}
