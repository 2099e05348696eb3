package benchmarker

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// recordAuthor is the author of the generated records, in the form of an instance's ID and incarnation.
const recordAuthor = "instance-7/0192f3a4b5c6d7e8"

// controlStream encodes records as in a control stream and applies them to its state.
type controlStream struct {
	benchmarker *Benchmarker
	state       *replayer.State
	counter     int
}

func (b *Benchmarker) newControlStream() *controlStream {
	return &controlStream{benchmarker: b, state: replayer.NewState("trial", nil)}
}

// record returns the encoded record that holds a payload.
func (c *controlStream) record(
	kind messenger.RecordKind, scope identifier.Scope, token identifier.Token, payload proto.Message,
) []byte {
	encoded, err := proto.Marshal(payload)
	c.benchmarker.fail("encode payload", err)
	c.counter++
	raw, err := proto.Marshal(&messenger.Record{
		Id: fmt.Sprintf("%s/%d", recordAuthor, c.counter), Kind: kind, Author: recordAuthor,
		Scope: string(scope), Token: uint64(token), Payload: encoded,
	})
	c.benchmarker.fail("encode record", err)
	return raw
}

// apply applies a record; it fails the run if the record is skipped or refused.
func (c *controlStream) apply(raw []byte) {
	applied, err := c.state.Apply(c.state.Next(), raw)
	c.benchmarker.fail("apply record", err)
	switch e := applied.Effect.(type) {
	case replayer.Skipped:
		c.benchmarker.fail("apply record", fmt.Errorf("skipped: %s %s", e.Cause, e.Detail))
	case replayer.ConfigRefused:
		c.benchmarker.fail("apply record", fmt.Errorf("refused: %s", e.Refusal.Reason))
	}
}

// claim returns a claim of a scope, or a renewal if the scope is held.
func (c *controlStream) claim(scope identifier.Scope) []byte {
	lease, held := c.state.Lease(scope)
	claim := &messenger.LeaseClaim{
		Scope: string(scope), Holder: recordAuthor, LastOffset: uint64(lease.Latest), DurationMs: 6000, Renewal: held,
	}
	return c.record(messenger.RecordKind_RECORD_KIND_LEASE_CLAIM, scope, lease.Token, claim)
}

// intent returns the record that announces an order.
func (c *controlStream) intent(scope identifier.Scope, order *messenger.EngineOrder) []byte {
	lease, _ := c.state.Lease(scope)
	intent := &messenger.OrderIntent{Order: order}
	return c.record(messenger.RecordKind_RECORD_KIND_ORDER_INTENT, scope, lease.Token, intent)
}

// outcome returns the record of an order that was carried out.
func (c *controlStream) outcome(scope identifier.Scope, order *messenger.EngineOrder) []byte {
	lease, _ := c.state.Lease(scope)
	outcome := &messenger.OrderOutcome{
		OrderId: order.GetOrderId(), Engine: order.GetEngine(), Result: messenger.OrderResult_ORDER_RESULT_DONE, Found: order,
	}
	return c.record(messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME, scope, lease.Token, outcome)
}

// change returns the record of a configuration change.
func (c *controlStream) change(change *messenger.ConfigChange) []byte {
	return c.record(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, "", 0, change)
}
