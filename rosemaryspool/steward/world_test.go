package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/elector"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

var errLost = errors.New("no response")

// thawDelay is how long after a pause the platform excuses an instance's calls.
const thawDelay = 300 * time.Millisecond

// world is a system of stewards with a fake store, a fake platform that checks its calls, and a fake network.
type world struct {
	t        *testing.T
	settings platform.DutySettings
	started  time.Time
	breakIt  func(*Steward)

	mu      sync.Mutex
	order   []identifier.InstanceID
	nodes   map[identifier.InstanceID]*node
	records []platform.Record
	era     identifier.Era
	changed chan struct{}
	// storeFault decides about a call of an instance; nil serves it.
	storeFault func(id identifier.InstanceID, write bool) fault
	// callFault decides about a call of an instance; nil carries it out.
	callFault func(id identifier.InstanceID, scope identifier.Scope) fault
	// dropIntents makes the store acknowledge intents without keeping them.
	dropIntents bool
	// sameEra makes the store return from an older copy without saying so.
	sameEra bool

	calls      []call
	bodies     map[uint64]string
	violations []string

	// lost is how many windows were missed or off.
	lost int
	// began holds the requests that truly began, by window.
	began map[uint64]uint64
}

// fault is what happens to a call.
type fault struct {
	// refuse answers with status 503; lose gives no answer; late carries it out after a while and gives no answer.
	refuse, lose bool
	late         time.Duration
}

type call struct {
	scope  identifier.Scope
	at     time.Time
	holder identifier.InstanceID
	token  identifier.Token
}

// node is one instance; it is started anew after each kill.
type node struct {
	member      elector.Member
	steward     *Steward
	stop        context.CancelFunc
	frozenUntil time.Time
	thawedAt    time.Time
	cut         bool
}

func newWorld(t *testing.T, enforced bool, breakIt func(*Steward)) *world {
	return newWorldOf(t, platform.DutySettings{
		Address: "10.0.0.1:80", ReportsUsage: true, OrdersServers: true, CallsPerSecond: 50, FencingEnforced: enforced,
		LeaseDuration: 3 * time.Second, ReportWindow: time.Second,
		ReportDelay: 10 * time.Second,
	}, breakIt)
}

func newWorldOf(t *testing.T, settings platform.DutySettings, breakIt func(*Steward)) *world {
	w := &world{
		t: t, settings: settings, started: time.Now(), nodes: map[identifier.InstanceID]*node{},
		changed: make(chan struct{}), bodies: map[uint64]string{}, began: map[uint64]uint64{}, breakIt: breakIt,
	}
	for i := range 5 {
		id := identifier.InstanceID(fmt.Sprintf("i%d", i))
		w.order = append(w.order, id)
		w.start(id)
	}
	return w
}

// start starts an instance, again if it ran before.
func (w *world) start(id identifier.InstanceID) {
	n := &node{member: elector.Member{
		Instance: id, DataCentre: "here", Address: "10.0.0.2:1", StartedMs: time.Now().UnixMilli(),
	}}
	c := &client{world: w, id: id, node: n}
	elapsed := func() time.Duration { return time.Since(w.started) }
	s := newSteward(w.settings, c, c, c, c, testLog(w.t, id), metrics.NewRegistry(), elapsed)
	if w.breakIt != nil {
		w.breakIt(s)
	}
	n.steward = s
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	go s.Run(ctx)
	go func() {
		for pause(ctx, 300*time.Millisecond) {
			c.order(s)
		}
	}()
	go func() {
		for pause(ctx, 100*time.Millisecond) {
			if c.frozen() > 0 {
				continue
			}
			if !w.settings.ReportsUsage {
				continue
			}
			w.mu.Lock()
			w.began[uint64(time.Now().UnixNano()/int64(w.settings.ReportWindow))]++
			w.mu.Unlock()
			s.Began("account")
		}
	}()
}

func (w *world) kill(id identifier.InstanceID) {
	n := w.node(id)
	n.stop()
}

func (w *world) node(id identifier.InstanceID) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

func (w *world) end() {
	for _, id := range w.order {
		n := w.node(id)
		n.stop()
		<-n.steward.Done()
	}
}

// holder returns who made the latest call.
func (w *world) holder() identifier.InstanceID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) == 0 {
		return ""
	}
	return w.calls[len(w.calls)-1].holder
}

func (w *world) freeze(id identifier.InstanceID, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[id]
	n.frozenUntil = time.Now().Add(length)
	n.thawedAt = n.frozenUntil
}

// restore makes the store return from a copy that lacks its latest records.
func (w *world) restore(lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = slices.Clone(w.records[:max(0, len(w.records)-lost)])
	if !w.sameEra {
		w.era++
	}
	w.wake()
}

func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// missing returns the windows between two times that were not reported, and those whose counts are off by more than the
// tolerance.
func (w *world) missing(from, to time.Time) (missing, off []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	length := int64(w.settings.ReportWindow)
	for k := uint64(from.UnixNano()/length) + 1; k < uint64(to.UnixNano()/length); k++ {
		body, found := w.bodies[k]
		if !found {
			missing = append(missing, k)
			continue
		}
		var m struct {
			Counts map[string]uint64 `json:"counts"`
		}
		require.NoError(w.t, json.Unmarshal([]byte(body), &m))
		if got, want := float64(m.Counts["account"]), float64(w.began[k]); got < 0.95*want || got > 1.05*want {
			off = append(off, k)
		}
	}
	return missing, off
}

// client is one process's view of the world.
type client struct {
	world *world
	id    identifier.InstanceID
	node  *node
}

// frozen returns how long the process will stand still.
func (c *client) frozen() time.Duration {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	return time.Until(c.node.frozenUntil)
}

// travel is the time that a message takes, until the process is thawed.
func (c *client) travel() {
	time.Sleep(2 * time.Millisecond)
	for left := c.frozen(); left > 0; left = c.frozen() {
		time.Sleep(left)
	}
}

func (c *client) Instances() int { return len(c.world.order) }

func (c *client) Self() elector.Member { return c.node.member }

func (c *client) Stewards(limit int) []elector.Member {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	var members []elector.Member
	for _, id := range c.world.order {
		if n := c.world.nodes[id]; n != nil && len(members) < limit {
			members = append(members, n.member)
		}
	}
	return members
}

func (c *client) Send(to elector.Member, d *messenger.Datagram) {
	w := c.world
	w.mu.Lock()
	target := w.nodes[to.Instance]
	cut := c.node.cut || target.cut || target.member.StartedMs != to.StartedMs
	w.mu.Unlock()
	if cut || c.frozen() > 0 {
		return
	}
	go func() {
		time.Sleep(time.Millisecond)
		select {
		case <-target.steward.Done():
			return
		default:
		}
		r := courier.Received{At: time.Now(), Sender: c.node.member, Datagram: d}
		switch body := d.GetBody().(type) {
		case *messenger.Datagram_UsageReport:
			target.steward.HandleUsageReport(r, body.UsageReport)
		case *messenger.Datagram_UsageReceipt:
			target.steward.HandleUsageReceipt(r, body.UsageReceipt)
		}
	}()
}

// meet lets a call to the store meet its fault. It returns whether the call is to be served, and the error for the caller.
func (c *client) meet(ctx context.Context, write bool) (late time.Duration, err error) {
	c.travel()
	c.world.mu.Lock()
	var f fault
	if c.world.storeFault != nil {
		f = c.world.storeFault(c.id, write)
	}
	if c.node.cut {
		f.lose = true
	}
	c.world.mu.Unlock()
	switch {
	case f.refuse:
		return 0, &platform.StatusError{Status: 503}
	case f.lose:
		<-ctx.Done()
		return 0, errLost
	default:
		return f.late, ctx.Err()
	}
}

func (c *client) ReadNewest(ctx context.Context, _ string, _ platform.Paging) (platform.Batch, error) {
	if _, err := c.meet(ctx, false); err != nil {
		return platform.Batch{}, err
	}
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	newest := map[string]platform.Record{}
	for _, r := range c.world.records {
		newest[r.Key] = r
	}
	batch := platform.Batch{Next: uint64(len(c.world.records)), Era: c.world.era}
	for _, r := range newest {
		batch.Records = append(batch.Records, r)
	}
	return batch, nil
}

func (c *client) Read(ctx context.Context, _ string, from uint64, p platform.Polling) (platform.Batch, error) {
	if _, err := c.meet(ctx, false); err != nil {
		return platform.Batch{}, err
	}
	deadline := time.After(p.Wait)
	for {
		c.world.mu.Lock()
		records, era, changed := slices.Clone(c.world.records), c.world.era, c.world.changed
		c.world.mu.Unlock()
		switch {
		case from > uint64(len(records)):
			return platform.Batch{}, &platform.TrimmedError{}
		case from < uint64(len(records)) || p.Wait == 0:
			c.travel()
			return platform.Batch{Records: records[from:], Next: uint64(len(records)), Era: era}, nil
		}
		select {
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		case <-deadline:
			p.Wait = 0
		case <-changed:
		}
	}
}

func (c *client) Append(
	ctx context.Context, _ string, at uint64, records []platform.Record,
) (identifier.Era, error) {
	late, err := c.meet(ctx, true)
	if err != nil {
		return 0, err
	}
	if late > 0 {
		time.AfterFunc(late, func() { _, _ = c.world.append(at, records) })
		<-ctx.Done()
		return 0, errLost
	}
	era, err := c.world.append(at, records)
	c.travel()
	return era, err
}

func (w *world) append(at uint64, records []platform.Record) (identifier.Era, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at != uint64(len(w.records)) {
		return w.era, platform.ErrMoved
	}
	for _, r := range records {
		r.Offset = uint64(len(w.records))
		if w.dropIntents && r.Key[0] == 'u' {
			r = platform.Record{Key: "dropped", Offset: r.Offset}
		}
		w.records = append(w.records, r)
	}
	w.wake()
	return w.era, nil
}

func (c *client) ReportUsage(ctx context.Context, fence platform.Fence, report []byte) error {
	var m struct {
		Window uint64 `json:"window-id"`
	}
	require.NoError(c.world.t, json.Unmarshal(report, &m))
	return c.call(ctx, ScopeUsage, fence, func() { c.world.takeBody(m.Window, string(report)) })
}

// order orders servers if the instance holds the duty; with which success doesn't matter to it.
func (c *client) order(s *Steward) {
	fence, until, held := s.Lease(ScopeScale)
	if !held || c.frozen() > 0 || time.Until(until) < minCallTime {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), minCallTime)
	defer cancel()
	var refused *platform.CloudError
	if errors.As(c.call(ctx, ScopeScale, fence, func() {}), &refused) && refused.Conflicts() {
		s.Refused(ScopeScale, fence.Token)
	}
}

// call makes a call that takes effect when it is carried out.
func (c *client) call(ctx context.Context, scope identifier.Scope, fence platform.Fence, effect func()) error {
	c.travel()
	c.world.mu.Lock()
	var f fault
	if c.world.callFault != nil {
		f = c.world.callFault(c.id, scope)
	}
	excused := time.Since(c.node.thawedAt) <= thawDelay
	c.world.mu.Unlock()
	switch {
	case f.refuse:
		return &platform.CloudError{Status: 503}
	case f.lose:
		<-ctx.Done()
		return errLost
	case f.late > 0:
		time.AfterFunc(f.late, func() { _ = c.world.carryOut(scope, fence, excused, effect) })
		<-ctx.Done()
		return errLost
	}
	return c.world.carryOut(scope, fence, excused, effect)
}

// carryOut carries out a call as the platform does, and checks it by what the platform sees. Calls of an instance that was
// thawed just now are excused.
func (w *world) carryOut(scope identifier.Scope, fence platform.Fence, excused bool, effect func()) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !excused {
		if err := w.judge(scope, fence); err != nil {
			return err
		}
	}
	effect()
	return nil
}

// judge checks a call's holder and token, and refuses it where the platform does.
func (w *world) judge(scope identifier.Scope, fence platform.Fence) error {
	now := time.Now()
	highest := identifier.Token(0)
	for _, c := range w.calls {
		if c.scope == scope {
			highest = max(highest, c.token)
		}
	}
	if fence.Token < highest {
		if w.settings.FencingEnforced {
			return &platform.CloudError{Status: 409}
		}
		w.violate("%s: token %d after %d", scope, fence.Token, highest)
	}
	for i, c := range w.calls {
		if c.scope != scope {
			continue
		}
		if c.token == fence.Token && c.holder != fence.Holder {
			w.violate("%s: token %d of %s and %s", scope, fence.Token, c.holder, fence.Holder)
		}
		if c.holder != fence.Holder || now.Sub(c.at) >= w.settings.LeaseDuration {
			continue
		}
		for _, between := range w.calls[i:] {
			if between.scope == scope && between.holder != fence.Holder {
				w.violate("%s: %s, %s and %s take turns: tokens %d, %d and %d at %v, %v and %v", scope, c.holder, between.holder,
					fence.Holder, c.token, between.token, fence.Token, c.at.Sub(w.started), between.at.Sub(w.started),
					now.Sub(w.started))
			}
		}
	}
	w.calls = append(w.calls, call{scope: scope, at: now, holder: fence.Holder, token: fence.Token})
	return nil
}

// takeBody takes the report of a window.
func (w *world) takeBody(window uint64, body string) {
	if known, found := w.bodies[window]; found && known != body {
		w.violate("window %d reported as %s and %s", window, known, body)
	}
	w.bodies[window] = body
}

func (w *world) violate(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}

// testLog returns the log of an instance, which is shown with the test if it fails.
func testLog(t *testing.T, id identifier.InstanceID) zerolog.Logger {
	return zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Str("instance", string(id)).Logger()
}
