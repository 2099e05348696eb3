package emulator

// Headers of the HTTP protocol between callers, instances and upstreams.
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
	HeaderLastEvent   = "Last-Event-Id"
	HeaderResumes     = "Resumes"
	HeaderLimit       = "Server-Limit"
	HeaderLeaving     = "Server-Leaving"
	HeaderEra         = "Store-Era"
	HeaderKey         = "X-Api-Key"
	HeaderAccount     = "Rosemaryspool-Tenant"
	HeaderHolder      = "Rosemaryspool-Duty-Holder"
	HeaderFence       = "Rosemaryspool-Fencing-Token"
)

// ReadyPath is the path of an instance's readiness probe for the load balancer.
const ReadyPath = "/-/readyz"

// InstanceHeaders are the headers that only instances may set. A value sent by a caller must not reach an upstream.
var InstanceHeaders = []string{
	HeaderExpect, HeaderStage, HeaderSource, HeaderPriority, "Rosemaryspool-Expect-Version",
	"Rosemaryspool-Kv-Retention", HeaderPin, "Rosemaryspool-Kv-Replica", "Kv-Fetch",
}
