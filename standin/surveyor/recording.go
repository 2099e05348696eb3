package surveyor

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// holder is the author of the surveyed records, named as an instance names itself.
const recordAuthor = "instance-7/0192f3a4b5c6d7e8"

// controlStream writes records as they stand in a control stream and folds them.
type controlStream struct {
	surveyor *Surveyor
	state    *replayer.State
	counter  int
}

func (s *Surveyor) newControlStream() *controlStream {
	return &controlStream{surveyor: s, state: replayer.NewState("trial", nil)}
}

// record returns the encoded record of a payload.
func (c *controlStream) record(kind messenger.RecordKind, scope identifier.Scope, token identifier.Token, payload proto.Message) []byte {
	encoded, err := proto.Marshal(payload)
	c.surveyor.fail("encode payload", err)
	c.counter++
	raw, err := proto.Marshal(&messenger.Record{
		Id: fmt.Sprintf("%s/%d", recordAuthor, c.counter), Kind: kind, Author: recordAuthor, Scope: string(scope), Token: uint64(token),
		Payload: encoded,
	})
	c.surveyor.fail("encode record", err)
	return raw
}

// fold applies a record and fails when it has no effect.
func (c *controlStream) apply(raw []byte) {
	applied, err := c.state.Apply(c.state.Next(), raw)
	c.surveyor.fail("fold record", err)
	switch e := applied.Effect.(type) {
	case replayer.Skipped:
		c.surveyor.fail("fold record", fmt.Errorf("skipped: %s %s", e.Cause, e.Detail))
	case replayer.ConfigRefused:
		c.surveyor.fail("fold record", fmt.Errorf("refused: %s", e.Refusal.Reason))
	}
}

// claim returns a claim or renewal of a scope on the latest grant.
func (c *controlStream) claim(scope identifier.Scope) []byte {
	lease, held := c.state.Lease(scope)
	claim := &messenger.LeaseClaim{
		Scope: string(scope), Holder: recordAuthor, LastOffset: uint64(lease.Latest), DurationMs: 6000, Renewal: held,
	}
	return c.record(messenger.RecordKind_RECORD_KIND_LEASE_CLAIM, scope, lease.Token, claim)
}

func (c *controlStream) intent(scope identifier.Scope, order *messenger.EngineOrder) []byte {
	lease, _ := c.state.Lease(scope)
	intent := &messenger.OrderIntent{Order: order}
	return c.record(messenger.RecordKind_RECORD_KIND_ORDER_INTENT, scope, lease.Token, intent)
}

func (c *controlStream) outcome(scope identifier.Scope, order *messenger.EngineOrder) []byte {
	lease, _ := c.state.Lease(scope)
	outcome := &messenger.OrderOutcome{
		OrderId: order.GetOrderId(), Engine: order.GetEngine(), Result: messenger.OrderResult_ORDER_RESULT_DONE, Found: order,
	}
	return c.record(messenger.RecordKind_RECORD_KIND_ORDER_OUTCOME, scope, lease.Token, outcome)
}

func (c *controlStream) change(change *messenger.ConfigChange) []byte {
	return c.record(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, "", 0, change)
}
