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
	// maxRecordedTime is the largest value of the histograms; a longer time counts as this one.
	maxRecordedTime = 10 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// outcome is the result of one request.
type outcome int

const (
	// outcomeGood is a complete answer within the deadline; outcomeLate is a complete answer after it.
	outcomeGood outcome = iota
	outcomeLate
	// outcomeRefused is a refusal with a result code before the answer began.
	outcomeRefused
	// outcomeBroken is an answer that began and ended incomplete.
	outcomeBroken
	// outcomeFailed is a request without a usable response from the daemon.
	outcomeFailed
	outcomeCount
)

// sample is the outcome and the latency of one request.
type sample struct {
	class   identifier.ClassName
	outcome outcome
	code    refuser.Code
	// firstToken and total are the latencies of the first token and of the complete answer, counted from the due time.
	firstToken time.Duration
	total      time.Duration
}

// ClassReport counts the outcomes and latencies of one class's requests. Latencies are of complete answers only.
type ClassReport struct {
	counts [outcomeCount]int
	// Codes counts refusals and broken answers by result code.
	Codes      map[refuser.Code]int
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// Report holds the counts of a run by class.
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
		Codes:      map[refuser.Code]int{},
		firstToken: hdrhistogram.New(1, highest, significantDigits),
		total:      hdrhistogram.New(1, highest, significantDigits),
	}
}

// Sent returns the number of requests with any outcome.
func (c *ClassReport) Sent() int {
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// Good returns the number of complete answers within their deadline.
func (c *ClassReport) Good() int { return c.counts[outcomeGood] }

// Late returns the number of complete answers after their deadline.
func (c *ClassReport) Late() int { return c.counts[outcomeLate] }

// Refused returns the number of refusals before an answer began.
func (c *ClassReport) Refused() int { return c.counts[outcomeRefused] }

// Broken returns the number of answers that began and ended incomplete.
func (c *ClassReport) Broken() int { return c.counts[outcomeBroken] }

// Failed returns the number of requests without a usable response from the daemon.
func (c *ClassReport) Failed() int { return c.counts[outcomeFailed] }

// add counts the sample of one request.
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

// record adds a value, clamped to the range of the histogram.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	bounded := min(max(value, time.Microsecond), maxRecordedTime)
	_ = histogram.RecordValue(bounded.Microseconds())
}

// Write writes one line of key=value pairs for each class, sorted by name.
func (r *Report) Write(output io.Writer) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		_, err := fmt.Fprintf(output,
			"class=%s sent=%d good=%d goodput=%.4f late=%d refused=%d broken=%d failed=%d codes=%s"+
				" firstP50Ms=%.1f firstP99Ms=%.1f wholeP50Ms=%.1f wholeP99Ms=%.1f\n",
			name, c.Sent(), c.Good(), float64(c.Good())/float64(c.Sent()), c.Late(), c.Refused(), c.Broken(), c.Failed(),
			c.codes(), milliseconds(c.firstToken, 50), milliseconds(c.firstToken, 99),
			milliseconds(c.total, 50), milliseconds(c.total, 99))
		if err != nil {
			return eris.Wrap(err, "loader: write report")
		}
	}
	return nil
}

// codes formats the result codes with their counts, or returns "none".
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
