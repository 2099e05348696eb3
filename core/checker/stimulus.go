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
func (w *world) stimulate() {
	p := w.processes[w.random.IntN(len(w.processes))]
	switch choice := w.random.IntN(100); {
	case choice < 55:
		w.call(p)
	case choice < 62:
		w.callTwice()
	case choice < 85:
		w.requestOrder()
	case choice < 92:
		w.publish(w.model.now.revision)
	case choice < 96:
		w.race()
	default:
		w.plan()
	}
}

// callTwice sends the same new key to two processes at once.
func (w *world) callTwice() {
	w.counter++
	number := w.counter
	w.callKey(w.processes[w.random.IntN(len(w.processes))], number)
	w.callKey(w.processes[w.random.IntN(len(w.processes))], number)
}

// requestOrder asks a holder, or now and then any process, for a change of role or version.
func (w *world) requestOrder() {
	engine := w.random.IntN(engineCount)
	scope := identifier.Scope(scopeNames[engineScope(engine)])
	p := w.processes[w.random.IntN(len(w.processes))]
	for _, other := range w.processes {
		if _, held := other.controller.Held(other.localNow(), scope); held && other.alive {
			p = other
		}
	}
	w.orders++
	order := &messenger.EngineOrder{
		OrderId: fmt.Sprintf("order%d", w.orders),
		Engine:  engineNames[engine],
		Kind:    messenger.OrderKind_ORDER_KIND_CHANGE_ROLE,
		Role:    []string{"mixed", "prefill", "decode"}[w.random.IntN(3)],
	}
	if w.chance(30) {
		order.Kind = messenger.OrderKind_ORDER_KIND_LOAD_MODEL
		order.Role = ""
		order.Model = "model"
		order.Version = fmt.Sprint("v", w.orders)
	}
	p.do(func() {
		p.run(p.controller.Handle(controller.OrderRequested{Now: p.localNow(), Scope: scope, Order: order}))
	})
}

func (w *world) publishFirst() {
	var checking []string
	for i, name := range engineNames {
		if checksTokens(i) {
			checking = append(checking, name)
		}
	}
	w.publishChange(0, requiredSection, strings.Join(checking, ","))
}

// publish changes a section on a base revision.
func (w *world) publish(base uint64) {
	w.publishChange(base, "classes", fmt.Sprint("classes ", w.random.IntN(1000)))
}

// race lets two operators publish on the same base, one of them on a stale view or with a wrong digest at times.
func (w *world) race() {
	base := w.model.now.revision
	w.publish(base)
	if p := w.processes[w.random.IntN(len(w.processes))]; w.chance(50) {
		base = uint64(p.controller.State().Revision())
	}
	w.publish(base)
}

func (w *world) publishChange(base uint64, name, content string) {
	sections := maps.Clone(w.model.sections)
	sections[name] = content
	digest := digestOf(sections)
	if w.chance(5) && base != 0 {
		digest = "wrong"
	}
	change := &messenger.ConfigChange{
		BaseRevision: base,
		Changed:      []*messenger.ConfigSection{{Name: name, Content: []byte(content)}},
		Digest:       digest,
		Operator:     fmt.Sprint("operator", w.random.IntN(3)),
	}
	w.publishRecord(messenger.RecordKind_RECORD_KIND_CONFIG_CHANGE, change)
}

func (w *world) plan() {
	w.publishRecord(messenger.RecordKind_RECORD_KIND_PLANNED_CHANGE, &messenger.PlannedChange{
		ChangeId: fmt.Sprint("change", w.records),
		Kind:     messenger.PlannedChangeKind(1 + w.random.IntN(4)),
		Upstream: engineNames[w.random.IntN(engineCount)],
	})
}

// publishRecord appends an operator's record, at times twice under the same id.
func (w *world) publishRecord(kind messenger.RecordKind, payload proto.Message) {
	w.records++
	encoded, err := proto.Marshal(payload)
	if err != nil {
		return
	}
	raw, err := proto.Marshal(&messenger.Record{Id: fmt.Sprint("operator/", w.records), Kind: kind, Author: "operator", Payload: encoded})
	if err != nil {
		return
	}
	copies := 1
	if w.chance(10) {
		copies = 2
	}
	for range copies {
		w.after(w.between(0, 50*time.Millisecond), func() {
			if !w.logDown() {
				w.control.append([][]byte{raw})
			}
		})
	}
}
