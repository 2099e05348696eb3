package loader

import (
	"fmt"
	"iter"
	"strings"

	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/simulator"
)

// Arrivals turns the requests of a generated workload into arrivals with prompt texts. Prompts that share a prefix in
// the workload share the text of that prefix. If callers is not empty, it replaces the workload's callers, round robin.
func Arrivals(
	workload *simulator.Workload, model identifier.ModelName, callers []identifier.CallerID,
) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		for i, r := range workload.Requests {
			class := workload.Parameters.Classes[r.Class]
			caller := r.Caller
			if len(callers) > 0 {
				caller = callers[i%len(callers)]
			}
			a := Arrival{
				At:        r.Arrival,
				Class:     class.Name,
				Caller:    caller,
				Model:     model,
				Prompt:    prompt(r),
				MaxOutput: class.OutputMax,
				Deadline:  r.Deadline - r.Arrival,
			}
			if !yield(a) {
				return
			}
		}
	}
}

// prompt returns a text of the request's length: one block for each hash of its prefix, then text that is unique to the
// request, and at the end a directive with the answer length for the stand-in engines.
func prompt(r simulator.Request) string {
	bytes := int(r.Prompt) * hasher.BytesPerToken
	directive := fmt.Sprintf(" answerTokens=%d", r.Output)
	var b strings.Builder
	b.Grow(bytes)
	for i, h := range r.Prefix {
		end := (i + 1) * int(identifier.BlockTokens) * hasher.BytesPerToken
		repeatWord(&b, fmt.Sprintf("%016x ", uint64(h)), min(end, bytes-len(directive)))
	}
	repeatWord(&b, string(r.ID)+" ", bytes-len(directive))
	b.WriteString(directive)
	return b.String()
}

// repeatWord appends a word repeatedly until the builder has the given length; the last one may be cut.
func repeatWord(b *strings.Builder, word string, length int) {
	for b.Len() < length {
		b.WriteString(word[:min(len(word), length-b.Len())])
	}
}
