package deduplicator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/replayer"
	"rosemaryspool.example/wire/messenger"
)

// Event is an input from outside the core. Now is the process's monotonic time and WallNow its wall time, both read
// after the event happened.
type Event interface{ event() }

// CallArrived starts a non-idempotent call. Its deadline is in monotonic time.
type CallArrived struct {
	Now     time.Time
	WallNow time.Time
	Request identifier.RequestID
	Caller  identifier.CallerID
	Key     identifier.IdempotencyKey
	// IssuedAt is the time on the caller's clock at which the key was issued. Repeated calls with the key carry the
	// same one.
	IssuedAt time.Time
	// RequestHash covers every part of the request that affects its result.
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

// LogTrimmed reports that the next offset to read is no longer retained; First is the first retained offset.
type LogTrimmed struct {
	Now     time.Time
	WallNow time.Time
	First   identifier.Offset
}

// AppendSucceeded reports that an append was confirmed.
type AppendSucceeded struct {
	Now     time.Time
	Records []identifier.RecordID
}

// AppendFailed reports that an append was not confirmed. If Unknown is set the records may be in the log.
type AppendFailed struct {
	Now     time.Time
	Records []identifier.RecordID
	Unknown bool
}

// DispatchEnded reports the result of a dispatch. The result NOT_RUN must be certain.
type DispatchEnded struct {
	Now         time.Time
	Attempt     identifier.AttemptID
	Result      messenger.DispatchResult
	Status      int
	ContentType string
	Body        []byte
}

// CallerDisconnected reports that no client waits for the request any more.
type CallerDisconnected struct {
	Now     time.Time
	Request identifier.RequestID
}

// WindowSet sets the time from its issue for which a key is remembered.
type WindowSet struct{ Window time.Duration }

// Ticked triggers time-based work; a due batch of claims waits at most one tick period.
type Ticked struct {
	Now     time.Time
	WallNow time.Time
}

func (CallArrived) event()        {}
func (RecordsRead) event()        {}
func (LogTrimmed) event()         {}
func (AppendSucceeded) event()    {}
func (AppendFailed) event()       {}
func (DispatchEnded) event()      {}
func (CallerDisconnected) event() {}
func (WindowSet) event()          {}
func (Ticked) event()             {}
