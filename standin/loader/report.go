package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/refuser"
)

const (
	// longestTime bounds what the histograms hold; a longer time counts as this one.
	maxRecordedTime = 10 * time.Minute
	// digits is the histograms' precision in significant digits.
	significantDigits = 3
)

// outcome tells how one request ended.
type outcome int

const (
	// outcomeGood is a whole answer within the deadline; outcomeLate is a whole answer after it.
	outcomeGood outcome = iota
	outcomeLate
	// outcomeRefused is a numbered refusal before the answer began.
	outcomeRefused
	// outcomeBroken is an answer that began and did not become whole.
	outcomeBroken
	// outcomeFailed is a request without any answer of the daemon.
	outcomeFailed
	outcomeCount
)

// sample is what one request brought.
type sample struct {
	class   identifier.ClassName
	outcome outcome
	code    refuser.Code
	// first and whole are the times to the first token and to the end, counted from when the request was due.
	firstToken time.Duration
	total time.Duration
}

// ClassReport counts the requests of one class.
type ClassReport struct {
	counts [outcomeCount]int
	// Codes counts refusals and broken answers by result code.
	Codes map[refuser.Code]int
	firstToken *hdrhistogram.Histogram
	total *hdrhistogram.Histogram
}

// Report counts what came back, by class.
type Report struct {
	mutex   sync.Mutex
	Classes map[identifier.ClassName]*ClassReport
}

func newReport() *Report {
	return &Report{Classes: map[identifier.ClassName]*ClassReport{}}
}

func newClassReport() *ClassReport {
	highest := maxRecordedTime.Microseconds()
	return &ClassReport{
		Codes: map[refuser.Code]int{},
		firstToken: hdrhistogram.New(1, highest, significantDigits),
		total: hdrhistogram.New(1, highest, significantDigits),
	}
}

// Sent returns the number of requests.
func (c *ClassReport) Sent() int {
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// Good returns the number of whole answers within their deadline.
func (c *ClassReport) Good() int { return c.counts[outcomeGood] }

// Late returns the number of whole answers after their deadline.
func (c *ClassReport) Late() int { return c.counts[outcomeLate] }

// Refused returns the number of refusals before an answer began.
func (c *ClassReport) Refused() int { return c.counts[outcomeRefused] }

// Broken returns the number of answers that did not become whole.
func (c *ClassReport) Broken() int { return c.counts[outcomeBroken] }

// Failed returns the number of requests without any answer of the daemon.
func (c *ClassReport) Failed() int { return c.counts[outcomeFailed] }

// add counts one request.
func (r *Report) add(s sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c, ok := r.Classes[s.class]
	if !ok {
		c = newClassReport()
		r.Classes[s.class] = c
	}
	c.counts[s.outcome]++
	if s.code != 0 {
		c.Codes[s.code]++
	}
	if s.outcome == outcomeGood || s.outcome == outcomeLate {
		record(c.firstToken, s.firstToken)
		record(c.total, s.total)
	}
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	bounded := min(max(value, time.Microsecond), maxRecordedTime)
	_ = histogram.RecordValue(bounded.Microseconds())
}

// Write writes one line for each class in order of name.
func (r *Report) Write(output io.Writer) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		_, err := fmt.Fprintf(output,
			"class=%s sent=%d good=%d goodput=%.4f late=%d refused=%d broken=%d failed=%d codes=%s"+
				" firstP50Ms=%.1f firstP99Ms=%.1f wholeP50Ms=%.1f wholeP99Ms=%.1f\n",
			name, c.Sent(), c.Good(), float64(c.Good())/float64(c.Sent()), c.Late(), c.Refused(), c.Broken(), c.Failed(), c.codes(),
			milliseconds(c.firstToken, 50), milliseconds(c.firstToken, 99), milliseconds(c.total, 50), milliseconds(c.total, 99))
		if err != nil {
			return eris.Wrap(err, "loader: write report")
		}
	}
	return nil
}

// codes returns the result codes with their counts, or "none".
func (c *ClassReport) codes() string {
	if len(c.Codes) == 0 {
		return "none"
	}
	parts := []string{}
	for _, code := range slices.Sorted(maps.Keys(c.Codes)) {
		parts = append(parts, fmt.Sprintf("%d:%d", code, c.Codes[code]))
	}
	return strings.Join(parts, ",")
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}
