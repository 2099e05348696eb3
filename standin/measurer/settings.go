// Package measurer measures routing, admission and roles on a fake clock: small fake engines, late and lost reports,
// several instances that decide alone, seeded arrivals and faults, and a bound that knows the mix in advance.
package measurer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Kind tells what a class contributes to the mix.
type Kind int

// Kinds of classes.
const (
	// KindFile is a long prompt with an answer of a few tokens.
	KindDocument Kind = iota + 1
	// KindDraft is a short prompt with a long answer.
	KindDraft
	// KindQuestion is a short prompt with a short answer.
	KindQuestion
)

// Class describes one class of requests.
type Class struct {
	Name      identifier.ClassName
	Kind      Kind
	PromptMin identifier.Tokens
	PromptMax identifier.Tokens
	OutputMin identifier.Tokens
	OutputMax identifier.Tokens
	// MaxOutput is the limit that the caller states; answers end before it.
	MaxOutput identifier.Tokens
	// SharedMin and SharedMax bound the share of the prompt that is a prefix common to many requests.
	SharedMin float64
	SharedMax float64
	Deadline  time.Duration
	Urgent    bool
	Priority  identifier.Priority
}

// Figures describes the fakes of one deployment; no policy reads them.
type Parameters struct {
	Deployment          string
	DataCentres         int
	Engines             int
	Instances           int
	PrefillPerSecond    float64
	DecodeBase          time.Duration
	DecodePerSequence   time.Duration
	MaxBatch            int
	ChunkTokens         identifier.Tokens
	CacheTokens         identifier.Tokens
	PieceTokens         identifier.Tokens
	HandoverBase        time.Duration
	HandoverPerThousand time.Duration
	ExportRetention     time.Duration
	RoleChangeMin       time.Duration
	RoleChangeMax       time.Duration
	DrainTimeout        time.Duration
	ReportInterval      time.Duration
	ReportDelay         time.Duration
	ReportLossRate      float64
	CacheEventInterval  time.Duration
	CacheEventDelay     time.Duration
	CacheEventLossRate  float64
	NetworkDelay        time.Duration
	ConnectTimeout      time.Duration
	SilenceTimeout      time.Duration
	DiscoveryDelay      time.Duration
	OrderDelay          time.Duration
	TickInterval        time.Duration
	CallerTimeoutFactor float64
	Callers             int
	SharedPrefixes      int
	PhaseMin            time.Duration
	PhaseMax            time.Duration
	RampMax             time.Duration
	PrefillShareMin     float64
	PrefillShareMax     float64
	QuestionShareMin    float64
	QuestionShareMax    float64
	BurstShare          float64
	BurstFactor         float64
	BurstMin            time.Duration
	BurstMax            time.Duration
	BurstVariation      float64
	SlowdownFactor      float64
	FaultDuration       time.Duration
	LongFaultDuration   time.Duration
	Classes             []Class
}

// Kalipci returns the figures of Kalıpçı's fakes.
func Kalipci() Parameters {
	f := commonParameters()
	f.Deployment = "kalipci"
	f.DataCentres, f.Engines = 3, 7
	f.PrefillPerSecond = 9000
	f.DecodeBase, f.DecodePerSequence, f.MaxBatch = 14*time.Millisecond, 300*time.Microsecond, 64
	f.CacheTokens = 600_000
	f.RoleChangeMin, f.RoleChangeMax = 4*time.Second, 8*time.Second
	f.ReportInterval, f.ReportDelay = 500*time.Millisecond, 1500*time.Millisecond
	f.Classes = []Class{
		{"fittingVerdict", KindDocument, 8000, 40000, 1, 3, 16, 1.0 / 3, 2.0 / 3, 8 * time.Second, true, 90},
		{"alterationNote", KindDraft, 500, 500, 400, 1200, 1500, 0.4, 0.4, 45 * time.Second, false, 40},
		{"catalogueLookup", KindQuestion, 300, 300, 10, 40, 64, 0, 0, 6 * time.Second, false, 20},
	}
	return f
}

// Luminaria returns the figures of Luminaria's fakes.
func Luminaria() Parameters {
	f := commonParameters()
	f.Deployment = "luminaria"
	f.DataCentres, f.Engines = 4, 8
	f.PrefillPerSecond = 7000
	f.DecodeBase, f.DecodePerSequence, f.MaxBatch = 16*time.Millisecond, 350*time.Microsecond, 48
	f.CacheTokens = 500_000
	f.RoleChangeMin, f.RoleChangeMax = 5*time.Second, 10*time.Second
	f.ReportInterval, f.ReportDelay = time.Second, 2*time.Second
	f.Classes = []Class{
		{"buildingCheck", KindDocument, 8000, 40000, 1, 3, 16, 1.0 / 3, 2.0 / 3, 10 * time.Second, true, 80},
		{"technicianQuestion", KindQuestion, 200, 900, 20, 80, 120, 0.3, 0.3, 4 * time.Second, true, 90},
		{"reportDraft", KindDraft, 500, 500, 400, 1200, 1500, 0.4, 0.4, 45 * time.Second, false, 40},
		{"logRead", KindQuestion, 300, 300, 10, 40, 64, 0, 0, 6 * time.Second, false, 20},
	}
	return f
}

// common returns what both deployments share.
func commonParameters() Parameters {
	return Parameters{
		Instances:           7,
		ChunkTokens:         512,
		PieceTokens:         identifier.PieceTokens,
		HandoverBase:        20 * time.Millisecond,
		HandoverPerThousand: time.Millisecond,
		ExportRetention:     10 * time.Second,
		DrainTimeout:        10 * time.Second,
		ReportLossRate:      0.02,
		CacheEventInterval:  500 * time.Millisecond,
		CacheEventDelay:     2 * time.Second,
		CacheEventLossRate:  0.02,
		NetworkDelay:        500 * time.Microsecond,
		ConnectTimeout:      time.Second,
		SilenceTimeout:      2 * time.Second,
		DiscoveryDelay:      5 * time.Second,
		OrderDelay:          300 * time.Millisecond,
		TickInterval:        100 * time.Millisecond,
		CallerTimeoutFactor: 2,
		Callers:             40,
		SharedPrefixes:      12,
		PhaseMin:            30 * time.Second,
		PhaseMax:            360 * time.Second,
		RampMax:             30 * time.Second,
		PrefillShareMin:     0.15,
		PrefillShareMax:     0.85,
		QuestionShareMin:    0.05,
		QuestionShareMax:    0.20,
		BurstShare:          0.33,
		BurstFactor:         3,
		BurstMin:            3 * time.Second,
		BurstMax:            8 * time.Second,
		BurstVariation:      2,
		SlowdownFactor:      3,
		FaultDuration:       2 * time.Minute,
		LongFaultDuration:   10 * time.Minute,
	}
}

// Deployment returns the figures of a deployment by its name.
func Deployment(name string) (Parameters, error) {
	switch name {
	case "kalipci":
		return Kalipci(), nil
	case "luminaria":
		return Luminaria(), nil
	default:
		return Parameters{}, fmt.Errorf("measurer: unknown deployment %q", name)
	}
}

// figure is one row of the table of figures.
type parameter struct {
	name  string
	unit  string
	value any
}

// table lists every figure with its unit; value points at the field.
func (f *Parameters) table() []parameter {
	rows := []parameter{
		{"dataCentres", "count", &f.DataCentres},
		{"engines", "count", &f.Engines},
		{"instances", "count", &f.Instances},
		{"prefillPerSecond", "uncached tokens a second", &f.PrefillPerSecond},
		{"decodeBase", "duration of a step", &f.DecodeBase},
		{"decodePerSequence", "duration for each sequence of a step", &f.DecodePerSequence},
		{"maxBatch", "sequences", &f.MaxBatch},
		{"chunkTokens", "tokens", &f.ChunkTokens},
		{"cacheTokens", "tokens", &f.CacheTokens},
		{"pieceTokens", "tokens", &f.PieceTokens},
		{"handoverBase", "duration", &f.HandoverBase},
		{"handoverPerThousand", "duration for 1,000 tokens", &f.HandoverPerThousand},
		{"exportKept", "duration", &f.ExportRetention},
		{"absenceMin", "duration", &f.RoleChangeMin},
		{"absenceMax", "duration", &f.RoleChangeMax},
		{"changePatience", "duration an engine serves on before a role change", &f.DrainTimeout},
		{"reportEvery", "duration", &f.ReportInterval},
		{"reportLate", "duration", &f.ReportDelay},
		{"reportLost", "share of reports", &f.ReportLossRate},
		{"cacheEventEvery", "duration between batches", &f.CacheEventInterval},
		{"cacheEventLate", "duration", &f.CacheEventDelay},
		{"cacheEventLost", "share of events", &f.CacheEventLossRate},
		{"network", "duration one way between data centres", &f.NetworkDelay},
		{"connectTimeout", "duration until a silent connect fails", &f.ConnectTimeout},
		{"silenceTimeout", "duration until a silent stream breaks", &f.SilenceTimeout},
		{"listLate", "duration the instance list lags", &f.DiscoveryDelay},
		{"orderLate", "duration from a decision to the engine", &f.OrderDelay},
		{"tick", "duration between timer events of an instance", &f.TickInterval},
		{"callerPatience", "multiple of the deadline until a caller leaves", &f.CallerTimeoutFactor},
		{"callers", "count", &f.Callers},
		{"sharedPrefixes", "count of different long shared prefixes", &f.SharedPrefixes},
		{"phaseMin", "duration", &f.PhaseMin},
		{"phaseMax", "duration", &f.PhaseMax},
		{"rampMax", "duration", &f.RampMax},
		{"prefillShareMin", "share of engine time", &f.PrefillShareMin},
		{"prefillShareMax", "share of engine time", &f.PrefillShareMax},
		{"questionShareMin", "share of engine time of short questions", &f.QuestionShareMin},
		{"questionShareMax", "share of engine time of short questions", &f.QuestionShareMax},
		{"burstShare", "share of phases with a burst", &f.BurstShare},
		{"burstFactor", "multiple of the phase's rate", &f.BurstFactor},
		{"burstMin", "duration", &f.BurstMin},
		{"burstMax", "duration", &f.BurstMax},
		{"burstVariation", "coefficient of variation of gaps in bursts", &f.BurstVariation},
		{"slowFactor", "multiple of the usual time", &f.SlowdownFactor},
		{"faultLength", "duration of a crash or a cut-off data centre", &f.FaultDuration},
		{"longFaultLength", "duration of slowness, frozen reports or a log outage", &f.LongFaultDuration},
	}
	for i := range f.Classes {
		rows = append(rows, f.Classes[i].table()...)
	}
	return rows
}

// table lists the figures of one class.
func (c *Class) table() []parameter {
	prefix := string(c.Name) + "."
	return []parameter{
		{prefix + "promptMin", "tokens", &c.PromptMin},
		{prefix + "promptMax", "tokens", &c.PromptMax},
		{prefix + "outputMin", "tokens", &c.OutputMin},
		{prefix + "outputMax", "tokens", &c.OutputMax},
		{prefix + "maxOutput", "tokens", &c.MaxOutput},
		{prefix + "sharedMin", "share of the prompt", &c.SharedMin},
		{prefix + "sharedMax", "share of the prompt", &c.SharedMax},
		{prefix + "deadline", "duration", &c.Deadline},
		{prefix + "priority", "rank and weight", &c.Priority},
	}
}

// Set overrides a figure, written as "name=value".
func (f *Parameters) Set(assignment string) error {
	name, text, ok := strings.Cut(assignment, "=")
	if !ok {
		return fmt.Errorf("measurer: %q is not name=value", assignment)
	}
	for _, row := range f.table() {
		if row.name == name {
			return row.set(text)
		}
	}
	return fmt.Errorf("measurer: unknown figure %q", name)
}

// set parses a value into the figure.
func (r parameter) set(text string) error {
	var err error
	switch v := r.value.(type) {
	case *int:
		*v, err = strconv.Atoi(text)
	case *identifier.Tokens:
		var n int
		n, err = strconv.Atoi(text)
		*v = identifier.Tokens(n)
	case *identifier.Priority:
		var n int
		n, err = strconv.Atoi(text)
		*v = identifier.Priority(n)
	case *float64:
		*v, err = strconv.ParseFloat(text, 64)
	case *time.Duration:
		*v, err = time.ParseDuration(text)
	}
	if err != nil {
		return fmt.Errorf("measurer: figure %s in %s: %w", r.name, r.unit, err)
	}
	return nil
}
