package dispatcher

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/wire/messenger"
)

// ConvertReport converts an engine's load report to the scheduler's type. It returns nil for a nil report.
func ConvertReport(report *messenger.EngineReport) *scheduler.Load {
	if report == nil {
		return nil
	}
	return &scheduler.Load{
		Sequence:            report.GetSequence(),
		Role:                identifier.Role(report.GetRole()),
		Model:               identifier.ModelName(report.GetModel()),
		Changing:            report.GetChanging(),
		Leaving:             report.GetLeaving(),
		QueuedPrefill:       identifier.Tokens(report.GetQueuedPrefillTokens()),
		PendingOutput:       identifier.Tokens(report.GetPendingOutputTokens()),
		Running:             int(report.GetRunning()),
		Waiting:             int(report.GetWaiting()),
		MaxBatch:            int(report.GetMaxBatch()),
		PrefillPerSecond:    report.GetPrefillTokensPerSecond(),
		DecodeStep:          time.Duration(report.GetDecodeStepMs() * float64(time.Millisecond)),
		CacheCapacityTokens: identifier.Tokens(report.GetCacheCapacityTokens()),
	}
}
