// Package sharer divides a service that is short of room among the accounts that use it, by max-min fairness: an account
// that asks for less than an equal part gets all of it, and what such accounts leave goes to the others in equal parts.
//
// Shares are in engine time, not in requests, so long prompts count for what they take. They follow from what was asked
// for and what was admitted in the last second or so, which the deciding instance sees anyway. Nothing is exchanged for
// them, and an instance that begins to decide knows them after that time.
package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Levels is the number of levels of urgency that are distinguished; 0 is the most urgent, and all less urgent ones count
// as the last.
const Levels = 8

const (
	// window is the time constant with which earlier requests are forgotten. It spans several rounds of callers that
	// repeat at once, and is short against a burst.
	window = time.Second
	// interval is the time between two calculations of the limit.
	interval = 50 * time.Millisecond
	// idleAfter is how long an account is kept without a request; its counts have nearly vanished by then.
	idleAfter = 5 * window
	// maxAccounts bounds the accounts that are kept; further ones count together and are never over their share.
	maxAccounts = 8192
	// shortage is the share of what was asked for that must have been refused before room counts as short.
	shortage = 0.01
	// notable is the share of what is asked for from which on a level counts as in use.
	notable = 0.05
	// maxRounds bounds the search for the limit, which usually takes a few rounds.
	maxRounds = 32
)

// account is what one account has asked for and got lately, in seconds of engine time that are discounted by age.
type account struct {
	// updated is the time to which the counts are discounted, seen that of the last request.
	updated  time.Time
	seen     time.Time
	asked    [Levels]float64
	admitted [Levels]float64
	// room is when the account's refused requests up to now will have had room, one after the other.
	room time.Time
}

// age discounts the counts to a time.
func (a *account) age(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(window))
	for level := range Levels {
		a.asked[level] *= factor
		a.admitted[level] *= factor
	}
	a.updated = now
}

func sum(values [Levels]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// Sharer divides one service. It is not safe for concurrent use.
type Sharer struct {
	accounts map[identifier.CallerID]*account
	// rest stands for the accounts beyond maxAccounts.
	rest account
	// limit is the largest share of an account; infinite while there is room for all.
	limit float64
	// part is what each account would get of all that was admitted, if all asked for more.
	part float64
	// leastUrgent is the least urgent level of which much is asked for.
	leastUrgent  int
	calculatedAt time.Time
}

// NewSharer returns a sharer of a service that nobody has used yet.
func NewSharer() *Sharer {
	return &Sharer{accounts: map[identifier.CallerID]*account{}, limit: math.Inf(1)}
}

// account returns the counts of an account at a time.
func (s *Sharer) account(now time.Time, caller identifier.CallerID) *account {
	a := s.accounts[caller]
	switch {
	case a == nil && len(s.accounts) >= maxAccounts:
		a = &s.rest
	case a == nil:
		a = &account{updated: now, seen: now}
		s.accounts[caller] = a
	}
	a.age(now)
	return a
}

// Record counts a request of an account that takes a time of an engine, and whether it was admitted.
func (s *Sharer) Record(now time.Time, caller identifier.CallerID, level int, cost time.Duration, admitted bool) {
	s.calculate(now)
	a, level := s.account(now, caller), min(level, Levels-1)
	a.seen = now
	a.asked[level] += cost.Seconds()
	if admitted {
		a.admitted[level] += cost.Seconds()
	}
}

// Exceeds reports whether room is short and an account has had its share, of which its more urgent requests come first.
func (s *Sharer) Exceeds(now time.Time, caller identifier.CallerID, level int) bool {
	s.calculate(now)
	a := s.accounts[caller]
	if a == nil || math.IsInf(s.limit, 1) {
		return false
	}
	a.age(now)
	level = min(level, Levels-1)
	left := s.limit
	for _, asked := range a.asked[:level] {
		left -= asked
	}
	return a.admitted[level] >= max(0, left)
}

// LeastUrgent returns the level of requests beyond their account's share: they go before nobody's.
func (s *Sharer) LeastUrgent(now time.Time) int {
	s.calculate(now)
	return s.leastUrgent
}

// Reserve returns how long it will take until there is room for a request of an account that is refused now, behind those
// refused before.
func (s *Sharer) Reserve(now time.Time, caller identifier.CallerID, cost time.Duration) time.Duration {
	s.calculate(now)
	a := s.account(now, caller)
	rate := s.part / window.Seconds()
	if !math.IsInf(s.limit, 1) {
		rate = s.limit / window.Seconds()
	}
	if a.room.Before(now) {
		a.room = now
	}
	wait := float64(idleAfter)
	if rate > 0 {
		wait = min(wait, cost.Seconds()/rate*float64(time.Second))
	}
	a.room = a.room.Add(time.Duration(wait))
	if latest := now.Add(idleAfter); a.room.After(latest) {
		a.room = latest
	}
	return a.room.Sub(now)
}

// Undo returns a function that takes back what Reserve does for an account after this call.
func (s *Sharer) Undo(caller identifier.CallerID) func() {
	a := s.accounts[caller]
	if a == nil {
		rest := s.rest.room
		return func() {
			delete(s.accounts, caller)
			s.rest.room = rest
		}
	}
	room := a.room
	return func() { a.room = room }
}

// calculate drops idle accounts and finds the limit with which the accounts get what was admitted lately.
func (s *Sharer) calculate(now time.Time) {
	if now.Sub(s.calculatedAt) < interval {
		return
	}
	s.calculatedAt = now
	asked, admitted := 0.0, 0.0
	levels := [Levels]float64{}
	demands := make([]float64, 0, len(s.accounts))
	for caller, a := range s.accounts {
		if now.Sub(a.seen) > idleAfter {
			delete(s.accounts, caller)
			continue
		}
		factor := math.Exp(-float64(now.Sub(a.updated)) / float64(window))
		demand := factor * sum(a.asked)
		demands = append(demands, demand)
		asked += demand
		for level, share := range a.asked {
			levels[level] += factor * share
		}
		admitted += factor * sum(a.admitted)
	}
	for level, share := range levels {
		if share > notable*asked {
			s.leastUrgent = level
		}
	}
	s.limit, s.part = math.Inf(1), admitted/float64(max(1, len(demands)))
	if asked-admitted > shortage*asked {
		s.limit = fill(demands, admitted)
	}
}

// fill returns the limit with which demands, each cut to it, add up to a total.
func fill(demands []float64, total float64) float64 {
	limit := total / float64(len(demands))
	for range maxRounds {
		left, above := total, 0
		for _, demand := range demands {
			if demand <= limit {
				left -= demand
			} else {
				above++
			}
		}
		if above == 0 || left/float64(above) <= limit {
			break
		}
		limit = left / float64(above)
	}
	return limit
}

// Limit returns the largest share of an account, infinite while there is room for all.
func (s *Sharer) Limit(now time.Time) float64 {
	s.calculate(now)
	return s.limit
}

// Share is what one account has asked for and got lately, in engines that were busy with it.
type Share struct {
	Caller   identifier.CallerID
	Asked    float64
	Admitted float64
}

// Shares returns the accounts that ask for most, at most count of them, and the limit, infinite while there is room.
func (s *Sharer) Shares(now time.Time, count int) (largest []Share, limit float64) {
	s.calculate(now)
	for caller, a := range s.accounts {
		a.age(now)
		largest = append(largest, Share{Caller: caller, Asked: sum(a.asked), Admitted: sum(a.admitted)})
	}
	slices.SortFunc(largest, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Caller, b.Caller))
	})
	return largest[:min(len(largest), count)], s.limit
}
