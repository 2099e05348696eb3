package generator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/scheduler"
	"rosemaryspool.example/standin/switcher"
	"rosemaryspool.example/wire/messenger"
)

// Report returns a load report, which may be as old as the lag.
func (e *Engine) Report(ctx context.Context) (*messenger.EngineReport, error) {
	if err := e.applyReadFaults(ctx); err != nil {
		return nil, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	if e.reported == nil || now.Sub(e.reportedAt) >= e.settings.ReportLag {
		e.reported = e.report(now)
		e.reportedAt = now
	}
	return e.reported, nil
}

// applyReadFaults applies the faults of reports and cache events: a delay, and an error while the engine is crashed.
func (e *Engine) applyReadFaults(ctx context.Context) error {
	faults := e.Switches.Get()
	if err := switcher.Sleep(ctx, faults.ReportDelayMS); err != nil {
		return eris.Wrap(err, "generator: report")
	}
	if faults.Crashed {
		return errCrashed
	}
	return nil
}

// freshReport returns a current load report, as responses carry it.
func (e *Engine) freshReport() *messenger.EngineReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.report(e.now())
}

// report builds a load report; the caller holds the mutex.
func (e *Engine) report(now time.Time) *messenger.EngineReport {
	report := encodeLoad(e.simulator.Load(now))
	report.Engine = string(e.settings.ID)
	report.Model = string(e.loaded.model)
	report.Version = string(e.loaded.version)
	report.Adapters = e.loaded.adapters
	report.Token = uint64(e.orders.highestToken)
	report.LastOrderId = string(e.orders.lastOrder)
	return report
}

func encodeLoad(load scheduler.Load) *messenger.EngineReport {
	return &messenger.EngineReport{
		Role:                   string(load.Role),
		Changing:               load.Changing,
		Leaving:                load.Leaving,
		QueuedPrefillTokens:    uint32(load.QueuedPrefill),
		Running:                uint32(load.Running),
		Waiting:                uint32(load.Waiting),
		MaxBatch:               uint32(load.MaxBatch),
		PendingOutputTokens:    uint32(load.PendingOutput),
		PrefillTokensPerSecond: load.PrefillPerSecond,
		DecodeStepMs:           float64(load.DecodeStep) / float64(time.Millisecond),
		Sequence:               load.Sequence,
		CacheCapacityTokens:    uint32(load.CacheCapacityTokens),
	}
}
