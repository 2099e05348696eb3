package platformer

// Headers on the wire between callers, instances and upstreams.
const (
	HeaderAttempt     = "Rosemaryspool-Attempt-Id"
	HeaderDeadline    = "Rosemaryspool-Deadline-Ms"
	HeaderModel       = "Rosemaryspool-Model"
	HeaderTokens      = "Rosemaryspool-Token-Count"
	HeaderPrompt      = "Rosemaryspool-Prompt-Prefix"
	HeaderSignature   = "Rosemaryspool-Server-Signature"
	HeaderNotExecuted = "Rosemaryspool-Not-Executed"
	HeaderExpect      = "Rosemaryspool-Expect-Instance"
	HeaderStage       = "Rosemaryspool-Serving-Stage"
	HeaderSource      = "Rosemaryspool-Kv-Source"
	HeaderPriority    = "Rosemaryspool-Request-Priority"
	HeaderPin         = "Rosemaryspool-Pin-Ms"
)

// ReadyPath is where an instance answers the balancer.
const ReadyPath = "/-/readyz"

// InstanceHeaders are those that only instances may set: what callers send of them must not reach an upstream.
var InstanceHeaders = []string{
	HeaderExpect, HeaderStage, HeaderSource, HeaderPriority, "Rosemaryspool-Expect-Version",
	"Rosemaryspool-Kv-Retention", HeaderPin, "Rosemaryspool-Kv-Replica", "Kv-Fetch",
}
