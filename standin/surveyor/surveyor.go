// Package surveyor measures how the core's costs grow with the size of a deployment and reckons them at the target's size.
package surveyor

import (
	"fmt"
	"io"
	"runtime"
	"strings"
)

// Sizes of one of today's deployments and of the target.
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
	// targetScopes is one lease for each of 37 models and that of the snapshots.
	targetScopes = 38
)

// series is one kind of cost measured over sizes.
type series struct {
	name string
	// unit of the values, and what one unit of size is.
	unit, per     string
	sizes         []float64
	values        []float64
	today, target float64
}

func (s *series) add(size, value float64) {
	s.sizes = append(s.sizes, size)
	s.values = append(s.values, value)
}

// Surveyor writes measured lines.
type Surveyor struct {
	output io.Writer
	// failure is the first fault of a part; its lines are not to be trusted.
	failure error
	// fits, figures and counts keep what was written, by name.
	fits    map[string]fit
	figures map[string]float64
	appendRates  map[string]appendRates
}

// NewSurveyor returns a surveyor that writes to output.
func NewSurveyor(output io.Writer) *Surveyor {
	return &Surveyor{output: output, fits: map[string]fit{}, figures: map[string]float64{}, appendRates: map[string]appendRates{}}
}

// parts of a survey by name, in the order in which they run.
func (s *Surveyor) parts() []part {
	return []part{
		{"scheduler", s.measureScheduler},
		{"callers", s.measureCallerLimits},
		{"configuration", s.measureConfiguration},
		{"control", s.measureControl},
		{"claims", s.measureClaims},
		{"reports", s.measureReports},
		{"appends", s.measureAppends},
		{"spread", s.measureFanOut},
		{"failures", s.measureFailures},
		{"roles", s.projectRoles},
	}
}

type part struct {
	name string
	run  func()
}

// Names lists the parts of a survey.
func Names() []string {
	var names []string
	for _, p := range NewSurveyor(io.Discard).parts() {
		names = append(names, p.name)
	}
	return names
}

// Run runs the named parts on one processor.
func (s *Surveyor) Run(names []string) error {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, name := range names {
		if err := s.runPart(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Surveyor) runPart(name string) error {
	for _, p := range s.parts() {
		if p.name == name {
			p.run()
			return s.failure
		}
	}
	return fmt.Errorf("surveyor: run part %q: want one of %s", name, strings.Join(Names(), ", "))
}

// writeSeries prints a series with its fit and what the fit says of today's size and the target's.
func (s *Surveyor) writeSeries(all ...*series) {
	for _, c := range all {
		f := newFit(c.sizes, c.values)
		s.fits[c.name] = f
		fmt.Fprintf(s.output, "slope=%s unit=%s per=%s sizes=%s values=%s fixed=%.4g slopeValue=%.4g rSquared=%.4f worst=%.3f "+
			"todaySize=%g today=%.4g targetSize=%g target=%.4g\n",
			c.name, c.unit, c.per, join(c.sizes), join(c.values), f.intercept, f.slope, f.rSquared, f.worstError,
			c.today, f.predict(c.today), c.target, f.predict(c.target))
	}
}

// fail keeps the first fault.
func (s *Surveyor) fail(act string, err error) {
	if err != nil && s.failure == nil {
		s.failure = fmt.Errorf("surveyor: %s: %w", act, err)
	}
}

func join(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprintf("%.4g", v)
	}
	return strings.Join(texts, ",")
}

// writeFigure prints one figure that does not depend on a size.
func (s *Surveyor) writeFigure(name, unit string, value float64) {
	s.figures[name] = value
	fmt.Fprintf(s.output, "figure=%s unit=%s value=%.4g\n", name, unit, value)
}
