package benchmarker

import (
	"fmt"
	"time"

	"rosemaryspool.example/core/classifier"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
)

// newSections returns the sections of a document with the given number of callers.
func (b *Benchmarker) newSections(callers int) configurer.Sections {
	document := &configurer.Document{
		FormatVersion: configurer.FormatVersion, Environment: "trial",
		Keys:     configurer.Keys{Window: configurer.DefaultKeyWindow},
		Services: []configurer.Service{{Name: "registry", Upstreams: []identifier.UpstreamID{"registry-1"}}},
		Classes:  []configurer.Class{{Name: "signing", Service: "registry", Deadline: time.Minute}},
	}
	for i := range callers {
		document.Callers = append(document.Callers, configurer.Caller{ID: callerID(i), RequestsPerSecond: 1, Burst: 1})
	}
	sections, err := document.Sections()
	b.fail("split document into sections", err)
	return sections
}

// editCaller returns the sections after a change of one caller's limits, and the encoded record of that change.
func (c *controlStream) editCaller(i, burst int) (sections configurer.Sections, raw []byte) {
	old := c.state.Sections()
	id := callerID(i)
	content := fmt.Sprintf(`{"id":%q,"requestsPerSecond":2,"burst":%d}`, id, burst)
	next := old.Apply(configurer.Sections{"callers/" + string(id): []byte(content)}, nil)
	change := configurer.NewChange(c.state.Revision(), old, next, configurer.Author{
		Operator: "operator-1", Message: "raise a limit",
	})
	return next, c.change(change)
}

// measureConfiguration measures configuration documents and snapshots over the number of callers.
func (b *Benchmarker) measureConfiguration() {
	newSeries := func(name, unit string) *series {
		return &series{name: name, unit: unit, per: "caller", today: todayCallers, target: targetCallers}
	}
	memory := newSeries("configurationMemory", "B")
	first := newSeries("firstDocumentBytes", "B")
	delta := newSeries("sectionDeltaBytes", "B")
	applyCPU := newSeries("foldChangeCPU", "ns")
	allocation := newSeries("foldChangeAllocation", "B")
	index := newSeries("indexDocumentCPU", "ns")
	indexMemory := newSeries("indexDocumentMemory", "B")
	snapshot := newSeries("snapshotBytes", "B")
	encoding := newSeries("encodeSnapshotCPU", "ns")
	for _, n := range callerSizes {
		size := float64(n)
		sections := b.newSections(n)
		c := b.newControlStream()
		raw := c.change(configurer.NewChange(0, nil, sections, configurer.Author{Operator: "operator-1"}))
		first.add(size, float64(len(raw)))
		memory.add(size, measureHeap(func() any {
			c.apply(raw)
			return c
		}))
		cost, bytes := c.applyEdits()
		applyCPU.add(size, cost.nanoseconds)
		allocation.add(size, cost.bytes)
		delta.add(size, bytes)
		index.add(size, measureCost(max(3, 100_000/n), func(int) { c.index() }).nanoseconds)
		indexMemory.add(size, measureHeap(func() any { return c.index() }))
		snapshotRecord, err := c.state.Snapshot()
		b.fail("take snapshot", err)
		snapshot.add(size, float64(len(snapshotRecord.GetState())))
		encoding.add(size, measureCost(max(2, 20_000/n), func(int) { _, _ = c.state.Snapshot() }).nanoseconds)
	}
	b.writeSeries(memory, first, delta, applyCPU, allocation, index, indexMemory, snapshot, encoding)
}

// applyEdits applies changes of one caller each and returns their mean cost and record size. The cost of building the
// records is not included.
func (c *controlStream) applyEdits() (mean cost, bytes float64) {
	const edits = 12
	for i := range edits {
		_, raw := c.editCaller(i, i+2)
		single := measureCost(1, func(int) { c.apply(raw) })
		mean.nanoseconds += single.nanoseconds / edits
		mean.bytes += single.bytes / edits
		bytes += float64(len(raw)) / edits
	}
	return mean, bytes
}

// index builds the classifier of the configuration in force.
func (c *controlStream) index() *classifier.Classifier {
	return classifier.NewClassifier(c.state.Revision(), c.state.Document())
}
