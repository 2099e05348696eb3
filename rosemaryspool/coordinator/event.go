package coordinator

import (
	"strings"

	"github.com/rs/zerolog"

	"rosemaryspool.example/core/controller"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// logAction logs the controller's decisions about configuration, planned changes, leases and orders, and gaps in the
// history.
func logAction(log zerolog.Logger, action controller.Action) {
	switch a := action.(type) {
	case controller.ConfigInForce:
		log.Info().Str("event", "configurationInForce").Uint64("revision", uint64(a.Revision)).Str("digest", a.Digest).
			Msg("Applied a configuration")
	case controller.ConfigChangeRefused:
		log.Info().Str("event", "configurationRefused").Str("operator", string(a.Refusal.Operator)).
			Uint64("base", uint64(a.Refusal.Base)).Uint64("beatenBy", uint64(a.Refusal.BeatenBy)).
			Str("reason", a.Refusal.Reason).Msg("Refused a configuration change")
	case controller.UpstreamsDraining:
		log.Info().Str("event", "upstreamsDraining").Str("upstreams", joinIDs(a.Upstreams)).
			Msg("The set of draining upstreams changed")
	case controller.LeaseGained:
		log.Info().Str("event", "leaseGained").Str("scope", string(a.Scope)).Uint64("token", uint64(a.Token)).
			Msg("Acquired a lease")
	case controller.LeaseLost:
		log.Info().Str("event", "leaseLost").Str("scope", string(a.Scope)).Msg("Lost a lease")
	case controller.OrderClosed:
		log.Info().Str("event", "orderClosed").Str("upstream", string(a.Engine)).Str("order", string(a.Order)).
			Str("result", resultName(a.Result)).Str("detail", a.Detail).Msg("Closed an order")
	case controller.EngineDiverged:
		log.Warn().Str("event", "engineDiverged").Str("upstream", string(a.Engine)).
			Str("role", a.Report.GetRole()).Str("expectedOrder", a.Expected.GetOrderId()).
			Msg("An engine's state differs from its last order")
	case controller.HistoryIncomplete:
		log.Warn().Str("event", "historyIncomplete").Uint64("first", uint64(a.First)).
			Msg("The log trimmed records before they were read")
	case controller.HistoryRestored:
		log.Info().Str("event", "historyRestored").Uint64("next", uint64(a.Next)).Msg("Restored the complete history")
	}
}

// resultName returns the value of the log key "result" for an order's result.
func resultName(result messenger.OrderResult) string {
	switch result {
	case messenger.OrderResult_ORDER_RESULT_DONE:
		return "done"
	case messenger.OrderResult_ORDER_RESULT_NOT_DONE:
		return "notDone"
	case messenger.OrderResult_ORDER_RESULT_FENCED:
		return "fenced"
	default:
		return "unknown"
	}
}

// joinIDs returns the ids separated by commas.
func joinIDs(ids []identifier.UpstreamID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ",")
}
