package courier

import (
	"github.com/rcrowley/go-metrics"

	"rosemaryspool.example/wire/messenger"
)

// kind returns the name of a datagram's kind in the metrics.
func kind(d *messenger.Datagram) string {
	switch d.GetBody().(type) {
	case nil:
		return "greeting"
	case *messenger.Datagram_WorkReport:
		return "workReport"
	case *messenger.Datagram_PlacementRequest:
		return "placementRequest"
	case *messenger.Datagram_PlacementReply:
		return "placementReply"
	case *messenger.Datagram_StreamQuery:
		return "streamQuery"
	case *messenger.Datagram_StreamReply:
		return "streamReply"
	case *messenger.Datagram_StreamReport:
		return "streamReport"
	case *messenger.Datagram_StoreUpdate:
		return "storeUpdate"
	case *messenger.Datagram_StoreRequest:
		return "storeRequest"
	case *messenger.Datagram_SpeedReport:
		return "speedReport"
	case *messenger.Datagram_CrashReport:
		return "crashReport"
	case *messenger.Datagram_DemandReport:
		return "demandReport"
	case *messenger.Datagram_UsageReport:
		return "usageReport"
	case *messenger.Datagram_UsageReceipt:
		return "usageReceipt"
	default:
		return "other"
	}
}

// count adds a datagram to the metrics of its kind in one direction.
func (c *Courier) count(direction string, d *messenger.Datagram, bytes int) {
	name := kind(d)
	metrics.GetOrRegisterCounter("datagrams."+direction+"."+name, c.registry).Inc(1)
	metrics.GetOrRegisterCounter("datagramBytes."+direction+"."+name, c.registry).Inc(int64(bytes))
}
