package steward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/meterer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/compressor"
	"rosemaryspool.example/wire/messenger"
)

const (
	// usageInterval is how often a holder checks whether a report is due.
	usageInterval = 100 * time.Millisecond
	// usageShare is the share of the platform's limit on calls that reports may use.
	usageShare = 0.5
	// callTimeout bounds a report's call, minCallTime is the least time for which it is worth making.
	callTimeout = time.Second
	minCallTime = 300 * time.Millisecond
	// maxBodyBytes is the size above which a body is recorded by its digest alone; the store takes records of 256 KiB.
	maxBodyBytes = 128 << 10
	// maxInflatedBytes bounds what a compressed record may contain.
	maxInflatedBytes = 8 << 20
	// intentSlots is how many intents the topic keeps: those of the latest windows.
	intentSlots = 16
)

const intentPrefix = "usage/"

func encodeUsage(w meterer.Window, counts meterer.Usage) ([]byte, error) {
	return platform.EncodeUsage(uint64(w), counts)
}

// Began counts a request of an account that has begun to run.
func (s *Steward) Began(caller identifier.CallerID) {
	if caller == "" || !s.settings.ReportsUsage {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Count(meterer.WindowAt(s.clock.Now(s.elapsed()), s.settings.ReportWindow), caller)
}

// reportUsage records and sends the reports that are due while this instance holds the lease.
func (s *Steward) reportUsage(ctx context.Context) {
	interval := usageInterval
	if limit := s.settings.CallsPerSecond; limit > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/(usageShare*limit)))
	}
	for pause(ctx, interval) {
		fence, until, held := s.Lease(ScopeUsage)
		if !held {
			continue
		}
		task, err := s.nextTask()
		if err != nil {
			s.log.Error().Err(err).Str("event", "usageUnencodable").Msg("A report of usage can't be encoded")
			continue
		}
		switch task := task.(type) {
		case meterer.Record:
			s.recordUsage(ctx, fence, task)
		case meterer.Send:
			s.sendUsage(ctx, fence, until, task)
		case meterer.Missed:
			s.count("usageMissed")
			s.log.Warn().Str("event", "usageMissed").Uint64("window", uint64(task.Window)).Str("cause", task.Cause).
				Msg("The usage of a window is not reported")
		}
	}
}

func (s *Steward) nextTask() (meterer.Task, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectOwn()
	now := s.elapsed()
	complete := float64(s.exchange.heard(now)) >= minHeardShare*float64(s.peers.Instances())
	return s.ledger.Decide(s.clock.Now(now), complete, s.collector.Total)
}

// recordUsage appends the intent of a report, which is sent once it is read back.
func (s *Steward) recordUsage(ctx context.Context, fence platform.Fence, task meterer.Record) {
	intent, err := encodeIntent(task)
	if err != nil {
		s.log.Error().Err(err).Str("event", "usageUnencodable").Msg("The intent of a report can't be encoded")
		return
	}
	err = s.append(ctx, func() ([]platform.Record, error) {
		value, err := proto.Marshal(&messenger.Record{
			Id: string(s.newRecordID()), Kind: messenger.RecordKind_RECORD_KIND_USAGE_INTENT, Author: s.holder,
			Scope: string(ScopeUsage), Token: uint64(fence.Token), Payload: intent,
		})
		key := fmt.Sprintf("%s%d", intentPrefix, task.Window%intentSlots)
		return []platform.Record{{Key: key, Value: value}}, err
	})
	if err == nil {
		return
	}
	s.count("usageUnrecorded")
	s.log.Warn().Err(err).Str("event", "usageUnrecorded").Uint64("window", uint64(task.Window)).
		Msg("Recording a report failed; trying again")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Failed(s.clock.Now(s.elapsed()), task.Window)
}

// sendUsage makes the call of a report if its time limit ends before the lease does.
func (s *Steward) sendUsage(ctx context.Context, fence platform.Fence, until time.Time, task meterer.Send) {
	limit := min(callTimeout, time.Until(until))
	if limit < minCallTime {
		return
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	err := s.cloud.ReportUsage(limited, fence, task.Body)
	cancel()
	outcome := "accepted"
	var refused *platform.CloudError
	switch {
	case errors.As(err, &refused) && refused.Conflicts():
		outcome = "conflict"
		s.Refused(ScopeUsage, fence.Token)
	case errors.As(err, &refused):
		// The platform is busy, down or has too many calls.
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	}
	s.count("usageReports." + outcome)
	s.log.Info().Err(err).Str("event", "usageReported").Str("outcome", outcome).Uint64("window", uint64(task.Window)).
		Uint64("token", uint64(fence.Token)).Int("bytes", len(task.Body)).Msg("Usage of a window was reported")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.ledger.Accepted(task.Window)
		return
	}
	s.ledger.Failed(s.clock.Now(s.elapsed()), task.Window)
}

// readIntent takes over the intent of a report. The caller holds the mutex.
func (s *Steward) readIntent(r platform.Record) {
	if !strings.HasPrefix(r.Key, intentPrefix) {
		return
	}
	intent, body, err := decodeIntent(r.Value)
	if err != nil {
		s.log.Warn().Err(err).Str("event", "intentUnreadable").Uint64("offset", r.Offset).
			Msg("Skipping an unreadable intent of a report")
		return
	}
	s.ledger.Recorded(meterer.Window(intent.GetWindow()), body, meterer.Digest(intent.GetDigest()))
}

func encodeIntent(task meterer.Record) ([]byte, error) {
	intent := &messenger.UsageIntent{Window: uint64(task.Window), Digest: task.Digest[:], Compressed: true}
	if compressed := compressor.Compress(task.Body); len(compressed) <= maxBodyBytes {
		intent.Body = compressed
	}
	return proto.Marshal(intent)
}

// decodeIntent returns the intent in a record and the body of its report; nil if the record has none.
func decodeIntent(value []byte) (*messenger.UsageIntent, []byte, error) {
	record, intent := &messenger.Record{}, &messenger.UsageIntent{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, nil, eris.Wrap(err, "steward: decode record")
	}
	if err := proto.Unmarshal(record.GetPayload(), intent); err != nil {
		return nil, nil, eris.Wrap(err, "steward: decode intent")
	}
	if len(intent.GetDigest()) != len(meterer.Digest{}) {
		return nil, nil, eris.New("steward: intent without digest")
	}
	body := intent.GetBody()
	if len(body) == 0 || !intent.GetCompressed() {
		return intent, body, nil
	}
	inflated, err := compressor.Decompress(body, maxInflatedBytes)
	return intent, inflated, eris.Wrap(err, "steward: report")
}
