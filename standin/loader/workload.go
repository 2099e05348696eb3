package loader

import (
	"fmt"
	"iter"
	"strings"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/slicer"
	"rosemaryspool.example/standin/measurer"
)

// Arrivals turns a drawn workload into requests with texts. Prompts that share a prefix in the workload share its text;
// callers replace the workload's own when there are any.
func Arrivals(workload *measurer.Workload, model identifier.ModelName, callers []identifier.CallerID) iter.Seq[Arrival] {
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

// prompt returns a text of the request's length: a piece for each hash of its prefix, then text of its own, and at the
// end the length of the answer that the stand-in engines give.
func prompt(r measurer.Request) string {
	bytes := int(r.Prompt) * slicer.BytesPerToken
	directive := fmt.Sprintf(" answerTokens=%d", r.Output)
	var b strings.Builder
	b.Grow(bytes)
	for i, h := range r.Prefix {
		end := (i + 1) * int(identifier.PieceTokens) * slicer.BytesPerToken
		fill(&b, fmt.Sprintf("%016x ", uint64(h)), min(end, bytes-len(directive)))
	}
	fill(&b, string(r.ID)+" ", bytes-len(directive))
	b.WriteString(directive)
	return b.String()
}

// fill repeats a word up to a length.
func fill(b *strings.Builder, word string, length int) {
	for b.Len() < length {
		b.WriteString(word[:min(len(word), length-b.Len())])
	}
}
