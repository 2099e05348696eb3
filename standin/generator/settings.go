package generator

import (
	"context"
	"time"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/batcher"
)

// Settings describes one engine; zero values take the defaults. Durations are in simulated time, which runs Speed times
// faster than the clock.
type Settings struct {
	ID       identifier.UpstreamID
	Version  identifier.ModelVersion
	Adapters []string
	// ChecksTokens makes the engine refuse an order with an outdated fencing token.
	ChecksTokens bool
	// Simulation holds the role, the model's name, and the speed and limits of the simulated engine.
	Simulation batcher.Settings
	// Speed is the number of simulated seconds in one second; zero means 1.
	Speed float64
	// OrderDowntime is how long a role change or model load keeps the engine offline.
	OrderDowntime time.Duration
	// OrderGracePeriod is how long running work may continue after such an order before it is dropped.
	OrderGracePeriod time.Duration
	// ReportLag is the maximum age of a load report; CacheEventLag is the delay until a cache event can be read.
	ReportLag     time.Duration
	CacheEventLag time.Duration
	Faults        Faults
	// TakeExport imports an exported KV cache from another engine; nil means over HTTP.
	TakeExport func(ctx context.Context, source completer.KVSource) error
}

// Faults are the engine's fault switches; counters decrease by one with each use.
type Faults struct {
	// RejectWork refuses new attempts.
	RejectWork bool `json:"rejectWork"`
	// CrossAnswers is the number of responses that carry the id of another attempt.
	CrossAnswers int `json:"crossAnswers"`
	// BreakStreams is the number of responses that are truncated after BreakAfterTokens tokens.
	BreakStreams     int `json:"breakStreams"`
	BreakAfterTokens int `json:"breakAfterTokens"`
	// OmitEndMarks is the number of responses that have all their tokens but lack the end mark.
	OmitEndMarks int `json:"omitEndMarks"`
	// StallStreams is the number of attempts that run without sending anything.
	StallStreams int `json:"stallStreams"`
	// Slowness multiplies the duration of every step; zero means 1.
	Slowness float64 `json:"slowness"`
	// Crashed drops all work and closes every connection without a response.
	Crashed bool `json:"crashed"`
	// Draining refuses new attempts while it is set; Leaving refuses them permanently.
	Draining bool `json:"draining"`
	Leaving  bool `json:"leaving"`
	// LoseOrderAnswers is the number of orders that take effect but get no response.
	LoseOrderAnswers int `json:"loseOrderAnswers"`
	// LoseCacheEvents is the number of cache events that are discarded, which leaves gaps in the sequence.
	LoseCacheEvents int `json:"loseCacheEvents"`
	// ReportDelayMS delays every load report and cache event response by this many milliseconds.
	ReportDelayMS int `json:"reportDelayMs"`
}

// Defaults, which describe a small engine.
const (
	defaultPrefillPerSecond      = 9000
	defaultDecodeBase            = 14 * time.Millisecond
	defaultDecodePerSequence     = 300 * time.Microsecond
	defaultMaxBatch              = 64
	defaultChunkTokens           = 512
	defaultCacheTokens           = 600_000
	defaultKVTransferBase        = 20 * time.Millisecond
	defaultKVTransferPerThousand = time.Millisecond
	defaultExportRetention       = 10 * time.Second
	defaultMaxWaiting            = 512
	defaultOrderDowntime         = 6 * time.Second
	defaultOrderGracePeriod      = 30 * time.Second
)

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Speed, 1)
	setDefault(&s.OrderDowntime, defaultOrderDowntime)
	setDefault(&s.OrderGracePeriod, defaultOrderGracePeriod)
	setDefault(&s.Simulation.Role, identifier.RoleMixed)
	setDefault(&s.Simulation.PrefillPerSecond, defaultPrefillPerSecond)
	setDefault(&s.Simulation.DecodeBase, defaultDecodeBase)
	setDefault(&s.Simulation.DecodePerSequence, defaultDecodePerSequence)
	setDefault(&s.Simulation.MaxBatch, defaultMaxBatch)
	setDefault(&s.Simulation.ChunkTokens, defaultChunkTokens)
	setDefault(&s.Simulation.CacheTokens, defaultCacheTokens)
	setDefault(&s.Simulation.BlockTokens, identifier.BlockTokens)
	setDefault(&s.Simulation.KVTransferBase, defaultKVTransferBase)
	setDefault(&s.Simulation.KVTransferPerThousand, defaultKVTransferPerThousand)
	setDefault(&s.Simulation.ExportRetention, defaultExportRetention)
	setDefault(&s.Simulation.MaxWaiting, defaultMaxWaiting)
	setDefault(&s.Simulation.TokensPerEvent, 1)
	return s
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
