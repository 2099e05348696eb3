package replayer

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// Errors that Decode returns for a state that cannot be used.
var (
	ErrChecksum    = errors.New("replayer: decode state: checksum does not match")
	ErrEnvironment = errors.New("replayer: decode state: state of another environment")
	ErrMalformed   = errors.New("replayer: decode state: malformed")
)

// Decode returns the state that Encode encoded; want is the expected checksum. It returns ErrChecksum, ErrEnvironment
// or an error that wraps ErrMalformed when the encoding cannot be used.
func Decode(environment identifier.Environment, compile CompileFunc, encoded []byte, want uint64) (*State, error) {
	if checksum(encoded) != want {
		return nil, ErrChecksum
	}
	message := &messenger.FoldedState{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if message.GetEnvironment() != string(environment) {
		return nil, ErrEnvironment
	}
	if message.GetNextOffset() == 0 {
		return nil, ErrMalformed
	}
	s := NewState(environment, compile)
	s.next = identifier.Offset(message.GetNextOffset())
	s.incomplete = message.GetIncomplete()
	s.unknownRecords = message.GetKept()
	s.snapshotOffset = identifier.Offset(message.GetSnapshotOffset())
	s.snapshotNext = identifier.Offset(message.GetSnapshotNext())
	s.counters = decodeCounters(message.GetCounters())
	for _, hash := range message.GetSeen() {
		s.seen.addHash(hash)
	}
	s.decodeLeases(message.GetLeases())
	s.decodeEngines(message.GetEngines())
	for _, p := range message.GetPlans() {
		s.plans[identifier.UpstreamID(p.GetUpstream())] = Plan{Change: p.GetChange(), Offset: identifier.Offset(p.GetOffset())}
	}
	if err := s.decodeConfig(message.GetConfig()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *State) decodeLeases(leases []*messenger.FoldedLease) {
	for _, l := range leases {
		scope := identifier.Scope(l.GetScope())
		s.leases[scope] = Lease{
			Scope:    scope,
			Holder:   l.GetHolder(),
			Token:    identifier.Token(l.GetToken()),
			Latest:   identifier.Offset(l.GetLatest()),
			Duration: time.Duration(l.GetDurationMs()) * time.Millisecond,
			Released: l.GetReleased(),
		}
	}
}

func (s *State) decodeEngines(engines []*messenger.FoldedEngine) {
	for _, e := range engines {
		id := identifier.UpstreamID(e.GetEngine())
		s.engines[id] = &Engine{
			ID:         id,
			Token:      identifier.Token(e.GetToken()),
			Unfinished: decodeOrder(e.GetUnfinished()),
			LastClosed: decodeOrder(e.GetLastClosed()),
			LastDone:   decodeOrder(e.GetLastDone()),
		}
	}
}

func decodeOrder(order *messenger.FoldedOrder) *Order {
	if order == nil {
		return nil
	}
	return &Order{
		Order:  order.GetOrder(),
		Scope:  identifier.Scope(order.GetScope()),
		Token:  identifier.Token(order.GetToken()),
		Offset: identifier.Offset(order.GetOffset()),
		Result: order.GetResult(),
		Detail: order.GetDetail(),
		Found:  order.GetFound(),
	}
}

// decodeConfig compiles the sections and checks their digest, so that a corrupt document never takes effect.
func (s *State) decodeConfig(message *messenger.FoldedConfig) error {
	sections := configurer.Sections{}
	for _, c := range message.GetSections() {
		sections[c.GetName()] = c.GetContent()
	}
	config := configState{revision: identifier.Revision(message.GetRevision()), current: s.config.current}
	if config.revision != 0 {
		current, err := config.current.Apply(sections, nil)
		if err != nil {
			return fmt.Errorf("%w: configuration: %w", ErrMalformed, err)
		}
		if current.Digest() != message.GetDigest() {
			return fmt.Errorf("%w: configuration digest does not match", ErrMalformed)
		}
		config.current = current
	}
	for _, r := range message.GetHistory() {
		config.history = append(config.history, decodeRevision(r))
	}
	for _, r := range message.GetRefused() {
		config.refused = append(config.refused, decodeRefusal(r))
	}
	s.config = config
	return nil
}

func decodeRevision(r *messenger.FoldedRevision) Revision {
	return Revision{
		Revision:         identifier.Revision(r.GetRevision()),
		Base:             identifier.Revision(r.GetBase()),
		Digest:           r.GetDigest(),
		Operator:         identifier.OperatorID(r.GetOperator()),
		Message:          r.GetMessage(),
		PromotedFrom:     identifier.Environment(r.GetPromotedFrom()),
		PromotedRevision: identifier.Revision(r.GetPromotedRevision()),
		Changed:          r.GetChanged(),
		Removed:          r.GetRemoved(),
	}
}

func decodeRefusal(r *messenger.FoldedRefusal) ConfigRefusal {
	return ConfigRefusal{
		Record:           identifier.RecordID(r.GetRecordId()),
		Offset:           identifier.Offset(r.GetOffset()),
		Base:             identifier.Revision(r.GetBase()),
		Digest:           r.GetDigest(),
		Operator:         identifier.OperatorID(r.GetOperator()),
		Reason:           r.GetReason(),
		BeatenBy:         identifier.Revision(r.GetBeatenBy()),
		BeatenByOperator: identifier.OperatorID(r.GetBeatenByOperator()),
	}
}

func decodeCounters(c *messenger.FoldedCounters) Counters {
	return Counters{
		Malformed: c.GetMalformed(),
		Duplicate: c.GetDuplicate(),
		Stale:     c.GetStale(),
		Unknown:   c.GetUnknown(),
		Refused:   c.GetRefused(),
	}
}
