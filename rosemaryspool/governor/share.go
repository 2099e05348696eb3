package governor

import (
	"fmt"
	"math"
	"time"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/allocator"
	"rosemaryspool.example/core/sharer"
)

const (
	// shareLogInterval is the time between two log lines about a service that is short of room.
	shareLogInterval = time.Second
	// loggedShares bounds the accounts in such a line.
	loggedShares = 5
)

// Learn counts an arbiter's decision on a request of this instance for the account that it belongs to.
func (g *Governor) Learn(now time.Time, request allocator.Request, admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allocator.Learn(now, request, admitted)
}

// logShares logs which accounts ask for most of a service while there is too little room for all that this instance has
// decided on, and when that ends. The governor's mutex must be held.
func (g *Governor) logShares(now time.Time) {
	for _, service := range g.allocator.Services() {
		if now.Sub(g.sharesLogged[service]) < shareLogInterval {
			continue
		}
		short := !math.IsInf(g.allocator.ShareLimit(now, service), 1)
		_, wasShort := g.sharesLogged[service]
		switch {
		case short:
			g.sharesLogged[service] = now
			largest, limit := g.allocator.Shares(now, service, loggedShares)
			g.log.Info().Str("event", "serviceShared").Str("service", string(service)).Float64("limit", limit).
				Array("largest", shareList(largest)).Msg("Service is short of room and divided among accounts")
		case wasShort:
			delete(g.sharesLogged, service)
			g.log.Info().Str("event", "serviceUnshared").Str("service", string(service)).
				Msg("Service has room for all accounts again")
		}
	}
}

// shareList is logged as an array of caller:asked:admitted, in engines that are busy with the account.
type shareList []sharer.Share

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l shareList) MarshalZerologArray(a *zerolog.Array) {
	for _, s := range l {
		a.Str(fmt.Sprintf("%s:%.3f:%.3f", s.Caller, s.Asked, s.Admitted))
	}
}
