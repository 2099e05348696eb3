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

// requiredSection must be in a document; it lists the engines that check tokens.
const requiredSection = "engines"

// compileSections is the check's own document format.
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

// stimulate lets callers, operators or the placement do something.
func (w *simulation) stimulate() {
	p := w.processes[w.rng.IntN(len(w.processes))]
	switch choice := w.rng.IntN(100); {
	case choice < 55:
		w.call(p)
	case choice < 62:
		w.callConcurrently()
	case choice < 85:
		w.requestOrder()
	case choice < 92:
		w.publish(w.reference.current.revision)
	case choice < 96:
		w.publishConcurrently()
	default:
		w.publishPlannedChange()
	}
}

// callTwice sends the same new key to two processes at once.
func (w *simulation) callConcurrently() {
	w.keyCount++
	number := w.keyCount
	w.callWithKey(w.processes[w.rng.IntN(len(w.processes))], number)
	w.callWithKey(w.processes[w.rng.IntN(len(w.processes))], number)
}

// requestOrder asks a holder, or now and then any process, for a change of role or version.
func (w *simulation) requestOrder() {
	engine := w.rng.IntN(engineCount)
	scope := identifier.Scope(scopeNames[engineScope(engine)])
	p := w.processes[w.rng.IntN(len(w.processes))]
	for _, other := range w.processes {
		if _, held := other.controller.Held(other.localNow(), scope); held && other.alive {
			p = other
		}
	}
	w.orderCount++
	order := &messenger.EngineOrder{
		OrderId: fmt.Sprintf("order%d", w.orderCount),
		Engine:  engineNames[engine],
		Kind:    messenger.OrderKind_ORDER_KIND_CHANGE_ROLE,
		Role:    []string{"mixed", "prefill", "decode"}[w.rng.IntN(3)],
	}
	if w.chance(30) {
		order.Kind = messenger.OrderKind_ORDER_KIND_LOAD_MODEL
		order.Role = ""
		order.Model = "model"
		order.Version = fmt.Sprint("v", w.orderCount)
	}
	p.runOrDefer(func() {
		p.runActions(p.controller.Handle(controller.OrderRequested{Now: p.localNow(), Scope: scope, Order: order}))
	})
}

func (w *simulation) publishInitial() {
	var checking []string
	for i, name := range engineNames {
		if checksTokens(i) {
			checking = append(checking, name)
		}
	}
	w.publishChange(0, requiredSection, strings.Join(checking, ","))
}

// publish changes a section on a base revision.
func (w *simulation) publish(base uint64) {
	w.publishChange(base, "classes", fmt.Sprint("classes ", w.rng.IntN(1000)))
}

// race lets two operators publish on the same base, one of them on a stale view or with a wrong digest at times.
func (w *simulation) publishConcurrently() {
	base := w.reference.current.revision
	w.publish(base)
	if p := w.processes[w.rng.IntN(len(w.processes))]; w.chance(50) {
		base = uint64(p.controller.State().Revision())
	}
	w.publish(base)
}

func (w *simulation) publishChange(base uint64, name, content string) {
	sections := maps.Clone(w.reference.sections)
	sections[name] = content
	digest := digestOf(sections)
	if w.chance(5) && base != 0 {
		digest = "wrong"
	}
	change := &messenger.ConfigChange{
		BaseRevision: base,
		Changed:      []*messenger.ConfigSection{{Name: name, Content: []byte(content)}},
		Digest:       digest,
		Operator:     fmt.Sprint("operator", w.rng.IntN(3)),
	}
	w.publishRecord(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, change)
}

func (w *simulation) publishPlannedChange() {
	w.publishRecord(messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, &messenger.PlannedChange{
		ChangeId: fmt.Sprint("change", w.operatorRecordCount),
		Kind:     messenger.PlannedChangeKind(1 + w.rng.IntN(4)),
		Upstream: engineNames[w.rng.IntN(engineCount)],
	})
}

// publishRecord appends an operator's record, at times twice under the same id.
func (w *simulation) publishRecord(kind messenger.RecordKind, payload proto.Message) {
	w.operatorRecordCount++
	encoded, err := proto.Marshal(payload)
	if err != nil {
		return
	}
	raw, err := proto.Marshal(&messenger.Record{Id: fmt.Sprint("operator/", w.operatorRecordCount), Kind: kind, Author: "operator", Payload: encoded})
	if err != nil {
		return
	}
	copies := 1
	if w.chance(10) {
		copies = 2
	}
	for range copies {
		w.after(w.randomDuration(0, 50*time.Millisecond), func() {
			if !w.logDown() {
				w.control.append([][]byte{raw})
			}
		})
	}
}
