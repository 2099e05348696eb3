package deduplicator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Event is something that happened outside the core. Now is read on the process's monotonic clock, WallNow on its wall
// clock, both after it happened.
type Event interface{ event() }

// CallArrived starts one non-idempotent call. Its deadline is on the monotonic clock.
type CallArrived struct {
	Now     time.Time
	WallNow time.Time
	Request identifier.RequestID
	Caller  identifier.CallerID
	Key     identifier.IdempotencyKey
	// IssuedAt is when the caller issued the key, by the caller's clock. It belongs to the key.
	IssuedAt time.Time
	// RequestHash covers everything of the request that decides what it does.
	RequestHash uint64
	Service     identifier.ServiceName
	Deadline    time.Time
}

// RecordsRead delivers records of the claim stream in offset order; End is the offset of the next append.
type RecordsRead struct {
	Now     time.Time
	WallNow time.Time
	Entries []replayer.Entry
	End     identifier.Offset
}

// LogTrimmed tells that the offset to read next is no longer kept; First is the first that is.
type LogTrimmed struct {
	Now     time.Time
	WallNow time.Time
	First   identifier.Offset
}

// AppendSucceeded tells that an append was confirmed.
type AppendSucceeded struct {
	Now     time.Time
	Records []identifier.RecordID
}

// AppendFailed tells that an append was not confirmed. With Unknown the records may be in the log.
type AppendFailed struct {
	Now     time.Time
	Records []identifier.RecordID
	Unknown bool
}

// DispatchEnded tells what is known of a dispatch. ResultNotRun must be certain.
type DispatchEnded struct {
	Now         time.Time
	Attempt     identifier.AttemptID
	Result      messenger.DispatchResult
	Status      int
	ContentType string
	Answer      []byte
}

// CallerLeft tells that nobody waits for the request any more.
type CallerLeft struct {
	Now     time.Time
	Request identifier.RequestID
}

// WindowSet sets how long a key is remembered from its issue time.
type WindowSet struct{ Window time.Duration }

// Ticked lets the deduplicator act on time; a batch of claims waits for it at most one period.
type Ticked struct {
	Now     time.Time
	WallNow time.Time
}

func (CallArrived) event()     {}
func (RecordsRead) event()     {}
func (LogTrimmed) event()      {}
func (AppendSucceeded) event() {}
func (AppendFailed) event()    {}
func (DispatchEnded) event()   {}
func (CallerLeft) event()      {}
func (WindowSet) event()       {}
func (Ticked) event()          {}
