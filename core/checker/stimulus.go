package checker

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// requiredSection is the section that every document must contain; it lists the engines that check fencing tokens.
const requiredSection = "engines"

// compileSections compiles the checker's own minimal document format.
func compileSections(sections configurer.Sections) (*configurer.Document, error) {
	content, ok := sections[requiredSection]
	if !ok || len(content) == 0 {
		return nil, errors.New("checker: section engines is missing")
	}
	document := &configurer.Document{FormatVersion: configurer.FormatVersion}
	checking := strings.Split(string(content), ",")
	for _, name := range engineNames {
		document.Engines = append(document.Engines, configurer.Engine{
			ID:           identifier.UpstreamID(name),
			ChecksTokens: indexOf(checking, name) >= 0,
		})
	}
	return document, nil
}

// stimulate performs one random action of a caller, an operator or the placement.
func (sm *simulation) stimulate() {
	p := sm.processes[sm.rng.IntN(len(sm.processes))]
	switch choice := sm.rng.IntN(100); {
	case choice < 55:
		sm.call(p)
	case choice < 62:
		sm.callConcurrently()
	case choice < 85:
		sm.requestOrder()
	case choice < 92:
		sm.publish(sm.reference.current.revision)
	case choice < 96:
		sm.publishConcurrently()
	default:
		sm.publishPlannedChange()
	}
}

// callConcurrently sends the same new key to two processes at once.
func (sm *simulation) callConcurrently() {
	sm.keyCount++
	keyNumber := sm.keyCount
	sm.callWithKey(sm.processes[sm.rng.IntN(len(sm.processes))], keyNumber)
	sm.callWithKey(sm.processes[sm.rng.IntN(len(sm.processes))], keyNumber)
}

// requestOrder requests a change of role or version from the lease holder, or from a random process when none holds the
// lease.
func (sm *simulation) requestOrder() {
	engine := sm.rng.IntN(engineCount)
	scope := identifier.Scope(scopeNames[engineScope(engine)])
	p := sm.processes[sm.rng.IntN(len(sm.processes))]
	for _, other := range sm.processes {
		if _, held := other.controller.Held(other.localNow(), scope); held && other.alive {
			p = other
		}
	}
	sm.orderCount++
	order := &messenger.EngineOrder{
		OrderId: fmt.Sprintf("order%d", sm.orderCount),
		Engine:  engineNames[engine],
		Kind:    messenger.OrderKind_ORDER_KIND_CHANGE_ROLE,
		Role:    []string{"mixed", "prefill", "decode"}[sm.rng.IntN(3)],
	}
	if sm.chance(30) {
		order.Kind = messenger.OrderKind_ORDER_KIND_LOAD_MODEL
		order.Role = ""
		order.Model = "model"
		order.Version = fmt.Sprint("v", sm.orderCount)
	}
	p.runOrDefer(func() {
		p.runActions(p.controller.Handle(controller.OrderRequested{Now: p.localNow(), Scope: scope, Order: order}))
	})
}

// publishInitial publishes the first document, on base revision zero.
func (sm *simulation) publishInitial() {
	var checking []string
	for i, name := range engineNames {
		if checksTokens(i) {
			checking = append(checking, name)
		}
	}
	sm.publishChange(0, requiredSection, strings.Join(checking, ","))
}

// publish changes the section "classes" on a base revision.
func (sm *simulation) publish(base uint64) {
	sm.publishChange(base, "classes", fmt.Sprint("classes ", sm.rng.IntN(1000)))
}

// publishConcurrently makes two operators publish on the same base revision. At random, the second one uses the base
// revision of a process, which may be stale.
func (sm *simulation) publishConcurrently() {
	base := sm.reference.current.revision
	sm.publish(base)
	if p := sm.processes[sm.rng.IntN(len(sm.processes))]; sm.chance(50) {
		base = uint64(p.controller.State().Revision())
	}
	sm.publish(base)
}

// publishChange publishes one changed section. It sends a wrong digest in 5 % of the changes after the first document.
func (sm *simulation) publishChange(base uint64, name, content string) {
	sections := maps.Clone(sm.reference.sections)
	sections[name] = content
	digest := digestOf(sections)
	if sm.chance(5) && base != 0 {
		digest = "wrong"
	}
	change := &messenger.ConfigChange{
		BaseRevision: base,
		Changed:      []*messenger.ConfigSection{{Name: name, Content: []byte(content)}},
		Digest:       digest,
		Operator:     fmt.Sprint("operator", sm.rng.IntN(3)),
	}
	sm.publishRecord(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, change)
}

// publishPlannedChange publishes a random planned change of a random engine.
func (sm *simulation) publishPlannedChange() {
	sm.publishRecord(messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, &messenger.PlannedChange{
		ChangeId: fmt.Sprint("change", sm.operatorRecordCount),
		Kind:     messenger.PlannedChangeKind(1 + sm.rng.IntN(4)),
		Upstream: engineNames[sm.rng.IntN(engineCount)],
	})
}

// publishRecord appends an operator's record, in 10 % of cases twice under the same id.
func (sm *simulation) publishRecord(kind messenger.RecordKind, payload proto.Message) {
	sm.operatorRecordCount++
	encoded, err := proto.Marshal(payload)
	if err != nil {
		return
	}
	raw, err := proto.Marshal(&messenger.Record{
		Id: fmt.Sprint("operator/", sm.operatorRecordCount), Kind: kind, Author: "operator", Payload: encoded,
	})
	if err != nil {
		return
	}
	copies := 1
	if sm.chance(10) {
		copies = 2
	}
	for range copies {
		sm.clock.After(sm.randomDuration(0, 50*time.Millisecond), func() {
			if !sm.logDown() {
				sm.control.append([][]byte{raw})
			}
		})
	}
}
