// Package benchmarker measures how the resource costs of the core grow with the size of a deployment, and extrapolates
// them to the size of the target deployment.
package benchmarker

import (
	"fmt"
	"io"
	"runtime"
	"strings"
)

// Sizes of a present deployment and of the target.
const (
	todayInstances = 7
	todayUpstreams = 8
	todayCallers   = 100
	todayScopes    = 2

	targetInstances = 360
	// targetUpstreams is the number of servers of one data centre: 2,200 over 12.
	targetUpstreams = 183
	targetServers   = 2200
	targetCallers   = 44_000
	// targetScopes is one lease scope for each of 37 models and one for the snapshots.
	targetScopes = 38
)

// series is one kind of cost, measured at several sizes.
type series struct {
	name string
	// unit is the unit of the values; per names what the sizes count, such as "caller".
	unit, per string
	sizes     []float64
	values    []float64
	// today and target are the sizes at which the fit is evaluated.
	today, target float64
}

func (s *series) add(size, value float64) {
	s.sizes = append(s.sizes, size)
	s.values = append(s.values, value)
}

// Benchmarker runs measurements and writes each result as a line of key=value pairs.
type Benchmarker struct {
	output io.Writer
	// failure is the first error of a part; the lines of that part are not valid.
	failure error
	// fits, figures and appendRates keep the written results by name, for projectRoles.
	fits        map[string]fit
	figures     map[string]float64
	appendRates map[string]appendRates
}

// NewBenchmarker returns a benchmarker that writes to output.
func NewBenchmarker(output io.Writer) *Benchmarker {
	return &Benchmarker{
		output: output, fits: map[string]fit{}, figures: map[string]float64{}, appendRates: map[string]appendRates{},
	}
}

// parts returns all parts in the order in which they run. The part "roles" uses the results of all others.
func (b *Benchmarker) parts() []part {
	return []part{
		{"scheduler", b.measureScheduler},
		{"callers", b.measureCallerLimits},
		{"configuration", b.measureConfiguration},
		{"control", b.measureControl},
		{"claims", b.measureClaims},
		{"reports", b.measureReports},
		{"appends", b.measureAppends},
		{"spread", b.measureFanOut},
		{"failures", b.measureFailures},
		{"roles", b.projectRoles},
	}
}

// part is a named group of measurements.
type part struct {
	name string
	run  func()
}

// Names returns the names of all parts in the order in which they run.
func Names() []string {
	var names []string
	for _, p := range NewBenchmarker(io.Discard).parts() {
		names = append(names, p.name)
	}
	return names
}

// Run runs the named parts with GOMAXPROCS set to one. It stops at the first part that fails.
func (b *Benchmarker) Run(names []string) error {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, name := range names {
		if err := b.runPart(name); err != nil {
			return err
		}
	}
	return nil
}

func (b *Benchmarker) runPart(name string) error {
	for _, p := range b.parts() {
		if p.name == name {
			p.run()
			return b.failure
		}
	}
	return fmt.Errorf("benchmarker: run part %q: want one of %s", name, strings.Join(Names(), ", "))
}

// writeSeries prints each series with its fit and the fitted values at today's size and at the target's.
func (b *Benchmarker) writeSeries(all ...*series) {
	for _, c := range all {
		f := newFit(c.sizes, c.values)
		b.fits[c.name] = f
		fmt.Fprintf(b.output,
			"slope=%s unit=%s per=%s sizes=%s values=%s fixed=%.4g slopeValue=%.4g rSquared=%.4f worst=%.3f "+
				"todaySize=%g today=%.4g targetSize=%g target=%.4g\n",
			c.name, c.unit, c.per, join(c.sizes), join(c.values), f.intercept, f.slope, f.rSquared, f.worstError,
			c.today, f.predict(c.today), c.target, f.predict(c.target))
	}
}

// fail keeps err as the failure of the run if it is the first one.
func (b *Benchmarker) fail(operation string, err error) {
	if err != nil && b.failure == nil {
		b.failure = fmt.Errorf("benchmarker: %s: %w", operation, err)
	}
}

func join(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, ",")
}

// writeFigure prints a measured value that does not depend on the deployment size.
func (b *Benchmarker) writeFigure(name, unit string, value float64) {
	b.figures[name] = value
	fmt.Fprintf(b.output, "figure=%s unit=%s value=%.4g\n", name, unit, value)
}
