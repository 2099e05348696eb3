package gatekeeper

import (
	"net"

	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/connector"
	"rosemaryspool.example/rosemaryspool/courier"
)

// Network opens what an instance sends and receives over.
type Network struct {
	// Listen opens the listener for callers, other instances, readiness probes or metrics.
	Listen func(address string) (net.Listener, error)
	// ListenDatagrams opens the socket for datagrams of other instances.
	ListenDatagrams func(address string) (courier.Socket, error)
	// Dial opens connections to upstreams and to other instances, DialStore those to the store.
	Dial      connector.Dial
	DialStore platform.Dial
}

// NewNetwork returns the operating system's network.
func NewNetwork() Network {
	return Network{
		Listen:          func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		ListenDatagrams: courier.Listen, Dial: connector.DialTCP, DialStore: platform.DialTCP,
	}
}
