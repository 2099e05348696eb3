package surveyor

import (
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// ledger is a log stream in memory that counts its appends by the kind of their first record.
type ledger struct {
	entries []replayer.Entry
	appends map[messenger.RecordKind]int
	bytes   int
}

func newLedger() *ledger { return &ledger{appends: map[messenger.RecordKind]int{}} }

func (l *ledger) end() identifier.Offset { return identifier.Offset(len(l.entries)) + 1 }

// append adds the records of one append and returns the offset of the first.
func (l *ledger) append(records [][]byte) identifier.Offset {
	first := l.end()
	envelope := &messenger.Record{}
	if proto.Unmarshal(records[0], envelope) == nil {
		l.appends[envelope.GetKind()]++
	}
	for _, r := range records {
		l.entries = append(l.entries, replayer.Entry{Offset: l.end(), Record: r})
		l.bytes += len(r)
	}
	return first
}

// read returns the entries from an offset on.
func (l *ledger) read(from identifier.Offset) []replayer.Entry { return l.entries[from-1:] }

// total returns the number of appends.
func (l *ledger) total() int {
	sum := 0
	for _, n := range l.appends {
		sum += n
	}
	return sum
}

// reset starts the counts anew.
func (l *ledger) reset() {
	clear(l.appends)
	l.bytes = 0
}

// scopes returns the lease scopes that records of the stream name.
func (l *ledger) scopes() map[string]bool {
	scopes := map[string]bool{}
	for _, e := range l.entries {
		envelope := &messenger.Record{}
		if proto.Unmarshal(e.Record, envelope) == nil && envelope.GetScope() != "" {
			scopes[envelope.GetScope()] = true
		}
	}
	return scopes
}
