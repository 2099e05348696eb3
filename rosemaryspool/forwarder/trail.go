package forwarder

import (
	"fmt"
	"strings"
	"time"

	"rosemaryspool.example/rosemaryspool/connector"
)

// maxTrail bounds the sends of one request that are logged.
const maxTrail = 12

// trailEntry is one send of a request, as it is logged.
type trailEntry struct {
	// to is the upstream, or the instance that the request was passed on to.
	to string
	// kind tells a separate prefill and a request that is passed on from the request itself.
	kind string
	// connection and exchange are the number of the connection and that of the send among those on it; zero without an answer.
	connection uint64
	exchange   int
	// status is the answer's status, zero if none arrived. refused is true if it was taken as proof that nothing ran.
	status  int
	refused bool
	took    time.Duration
}

// Kinds of sends in a trail.
const (
	kindRequest  = "request"
	kindPrefill  = "prefill"
	kindPassedOn = "passedOn"
)

// recordSend adds a send that has been answered or has failed to the request's trail.
func (e *exchange) recordSend(kind, to string, sent time.Time, response *connector.Response, refused bool) {
	if len(e.trail) == maxTrail {
		return
	}
	entry := trailEntry{to: to, kind: kind, refused: refused, took: time.Since(sent)}
	if response != nil {
		entry.connection, entry.exchange, entry.status = response.Connection, response.Exchange, response.Status
	}
	e.trail = append(e.trail, entry)
}

// String returns the send as NAME KIND CONNECTION/EXCHANGE STATUS TIME.
func (t trailEntry) String() string {
	refused := ""
	if t.refused {
		refused = " refused"
	}
	return fmt.Sprintf("%s %s %d/%d %d%s %s", t.to, t.kind, t.connection, t.exchange, t.status, refused,
		t.took.Round(100*time.Microsecond))
}

func formatTrail(trail []trailEntry) string {
	texts := make([]string, 0, len(trail))
	for _, t := range trail {
		texts = append(texts, t.String())
	}
	return strings.Join(texts, ", ")
}
