package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"rosemaryspool.example/core/refuser"
)

// Values of the output setting.
const (
	outputJSON = "json"
	outputText = "text"
)

// result is the outcome of a command. It is printed as text, or encoded as JSON.
type result interface{ writeText(w io.Writer) }

// printer writes results to the standard output, and progress and failures to the standard error.
type printer struct {
	output string
	out    io.Writer
	err    io.Writer
}

func (p *printer) print(r result) {
	if p.output != outputJSON {
		r.writeText(p.out)
		return
	}
	p.printJSON(r)
}

func (p *printer) printJSON(value any) {
	encoder := json.NewEncoder(p.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// progress writes a progress line to the standard error, so that it never mixes with the result.
func (p *printer) progress(format string, values ...any) {
	_, _ = fmt.Fprintf(p.err, format+"\n", values...)
}

// failureReport is a failure in JSON output.
type failureReport struct {
	Error   string       `json:"error"`
	Code    refuser.Code `json:"code,omitempty"`
	Exit    int          `json:"exit"`
	Advice  string       `json:"advice,omitempty"`
	Details any          `json:"details,omitempty"`
}

func (p *printer) printFailure(f *Failure) {
	if p.output == outputJSON {
		p.printJSON(failureReport{f.Message, f.Code, f.Exit, f.Advice, f.Detail})
		return
	}
	_, _ = fmt.Fprintln(p.err, f.Message)
	if f.Detail != nil {
		if detail, ok := f.Detail.(result); ok {
			detail.writeText(p.err)
		}
	}
	if f.Advice != "" {
		_, _ = fmt.Fprintln(p.err, "what to do: "+f.Advice)
	}
	if f.Code != 0 {
		_, _ = fmt.Fprintf(p.err, "code %d, exit %d\n", f.Code, f.Exit)
	}
}
