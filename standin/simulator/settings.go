// Package simulator simulates a deployment on a fake clock to compare policies for routing, admission control and
// engine roles. It models engines, delayed and lost reports, several instances that decide independently, and seeded
// arrivals and faults. It compares each policy with baselines and with an upper bound that is computed from the
// complete workload in advance.
package simulator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rosemaryspool.example/core/identifier"
)

// Kind is the resource that the requests of a class mainly use: prefill, decode or little of either.
type Kind int

// Kinds of request classes.
const (
	// KindDocument is a long prompt with a response of a few tokens.
	KindDocument Kind = iota + 1
	// KindDraft is a short prompt with a long response.
	KindDraft
	// KindQuestion is a short prompt with a short response.
	KindQuestion
)

// Class describes one class of requests and the ranges from which their sizes are drawn.
type Class struct {
	Name      identifier.ClassName
	Kind      Kind
	PromptMin identifier.Tokens
	PromptMax identifier.Tokens
	OutputMin identifier.Tokens
	OutputMax identifier.Tokens
	// MaxOutput is the limit that the caller sets on the output; responses end before it.
	MaxOutput identifier.Tokens
	// SharedMin and SharedMax bound the fraction of the prompt that is a prefix shared by many requests.
	SharedMin float64
	SharedMax float64
	Deadline  time.Duration
	Urgent    bool
	Priority  identifier.Priority
}

// Parameters describes the simulated engines, network and workload of one deployment. Policies compute their
// starting split from them; deciders and planners get only the number of instances.
type Parameters struct {
	Deployment            string
	DataCentres           int
	Engines               int
	Instances             int
	PrefillPerSecond      float64
	DecodeBase            time.Duration
	DecodePerSequence     time.Duration
	MaxBatch              int
	ChunkTokens           identifier.Tokens
	CacheTokens           identifier.Tokens
	BlockTokens           identifier.Tokens
	KVTransferBase        time.Duration
	KVTransferPerThousand time.Duration
	ExportRetention       time.Duration
	RoleChangeMin         time.Duration
	RoleChangeMax         time.Duration
	DrainTimeout          time.Duration
	ReportInterval        time.Duration
	ReportDelay           time.Duration
	ReportLossRate        float64
	CacheEventInterval    time.Duration
	CacheEventDelay       time.Duration
	CacheEventLossRate    float64
	NetworkDelay          time.Duration
	ConnectTimeout        time.Duration
	SilenceTimeout        time.Duration
	DiscoveryDelay        time.Duration
	OrderDelay            time.Duration
	TickInterval          time.Duration
	CallerTimeoutFactor   float64
	Callers               int
	SharedPrefixes        int
	PhaseMin              time.Duration
	PhaseMax              time.Duration
	RampMax               time.Duration
	PrefillShareMin       float64
	PrefillShareMax       float64
	QuestionShareMin      float64
	QuestionShareMax      float64
	BurstShare            float64
	BurstFactor           float64
	BurstMin              time.Duration
	BurstMax              time.Duration
	BurstVariation        float64
	SlowdownFactor        float64
	FaultDuration         time.Duration
	LongFaultDuration     time.Duration
	Classes               []Class
}

// Kalipci returns the parameters of the simulated Kalıpçı deployment.
func Kalipci() Parameters {
	p := commonParameters()
	p.Deployment = "kalipci"
	p.DataCentres, p.Engines = 3, 7
	p.PrefillPerSecond = 9000
	p.DecodeBase, p.DecodePerSequence, p.MaxBatch = 14*time.Millisecond, 300*time.Microsecond, 64
	p.CacheTokens = 600_000
	p.RoleChangeMin, p.RoleChangeMax = 4*time.Second, 8*time.Second
	p.ReportInterval, p.ReportDelay = 500*time.Millisecond, 1500*time.Millisecond
	p.Classes = []Class{
		{"fittingVerdict", KindDocument, 8000, 40000, 1, 3, 16, 1.0 / 3, 2.0 / 3, 8 * time.Second, true, 90},
		{"alterationNote", KindDraft, 500, 500, 400, 1200, 1500, 0.4, 0.4, 45 * time.Second, false, 40},
		{"catalogueLookup", KindQuestion, 300, 300, 10, 40, 64, 0, 0, 6 * time.Second, false, 20},
	}
	return p
}

// Luminaria returns the parameters of the simulated Luminaria deployment.
func Luminaria() Parameters {
	p := commonParameters()
	p.Deployment = "luminaria"
	p.DataCentres, p.Engines = 4, 8
	p.PrefillPerSecond = 7000
	p.DecodeBase, p.DecodePerSequence, p.MaxBatch = 16*time.Millisecond, 350*time.Microsecond, 48
	p.CacheTokens = 500_000
	p.RoleChangeMin, p.RoleChangeMax = 5*time.Second, 10*time.Second
	p.ReportInterval, p.ReportDelay = time.Second, 2*time.Second
	p.Classes = []Class{
		{"buildingCheck", KindDocument, 8000, 40000, 1, 3, 16, 1.0 / 3, 2.0 / 3, 10 * time.Second, true, 80},
		{"technicianQuestion", KindQuestion, 200, 900, 20, 80, 120, 0.3, 0.3, 4 * time.Second, true, 90},
		{"reportDraft", KindDraft, 500, 500, 400, 1200, 1500, 0.4, 0.4, 45 * time.Second, false, 40},
		{"logRead", KindQuestion, 300, 300, 10, 40, 64, 0, 0, 6 * time.Second, false, 20},
	}
	return p
}

// commonParameters returns the values that both deployments share.
func commonParameters() Parameters {
	return Parameters{
		Instances:             7,
		ChunkTokens:           512,
		BlockTokens:           identifier.BlockTokens,
		KVTransferBase:        20 * time.Millisecond,
		KVTransferPerThousand: time.Millisecond,
		ExportRetention:       10 * time.Second,
		DrainTimeout:          10 * time.Second,
		ReportLossRate:        0.02,
		CacheEventInterval:    500 * time.Millisecond,
		CacheEventDelay:       2 * time.Second,
		CacheEventLossRate:    0.02,
		NetworkDelay:          500 * time.Microsecond,
		ConnectTimeout:        time.Second,
		SilenceTimeout:        2 * time.Second,
		DiscoveryDelay:        5 * time.Second,
		OrderDelay:            300 * time.Millisecond,
		TickInterval:          100 * time.Millisecond,
		CallerTimeoutFactor:   2,
		Callers:               40,
		SharedPrefixes:        12,
		PhaseMin:              30 * time.Second,
		PhaseMax:              360 * time.Second,
		RampMax:               30 * time.Second,
		PrefillShareMin:       0.15,
		PrefillShareMax:       0.85,
		QuestionShareMin:      0.05,
		QuestionShareMax:      0.20,
		BurstShare:            0.33,
		BurstFactor:           3,
		BurstMin:              3 * time.Second,
		BurstMax:              8 * time.Second,
		BurstVariation:        2,
		SlowdownFactor:        3,
		FaultDuration:         2 * time.Minute,
		LongFaultDuration:     10 * time.Minute,
	}
}

// Deployment returns the parameters of the named deployment.
func Deployment(name string) (Parameters, error) {
	switch name {
	case "kalipci":
		return Kalipci(), nil
	case "luminaria":
		return Luminaria(), nil
	default:
		return Parameters{}, fmt.Errorf("simulator: unknown deployment %q", name)
	}
}

// parameter is one named entry of Parameters that can be overridden; value points at the field.
type parameter struct {
	name  string
	unit  string
	value any
}

// table lists every parameter with its unit.
func (p *Parameters) table() []parameter {
	rows := []parameter{
		{"dataCentres", "count", &p.DataCentres},
		{"engines", "count", &p.Engines},
		{"instances", "count", &p.Instances},
		{"prefillPerSecond", "uncached tokens a second", &p.PrefillPerSecond},
		{"decodeBase", "duration of a step", &p.DecodeBase},
		{"decodePerSequence", "duration for each sequence of a step", &p.DecodePerSequence},
		{"maxBatch", "sequences", &p.MaxBatch},
		{"chunkTokens", "tokens", &p.ChunkTokens},
		{"cacheTokens", "tokens", &p.CacheTokens},
		{"pieceTokens", "tokens", &p.BlockTokens},
		{"handoverBase", "duration", &p.KVTransferBase},
		{"handoverPerThousand", "duration for 1,000 tokens", &p.KVTransferPerThousand},
		{"exportKept", "duration", &p.ExportRetention},
		{"absenceMin", "duration", &p.RoleChangeMin},
		{"absenceMax", "duration", &p.RoleChangeMax},
		{"changePatience", "duration until a draining engine changes its role regardless", &p.DrainTimeout},
		{"reportEvery", "duration", &p.ReportInterval},
		{"reportLate", "duration", &p.ReportDelay},
		{"reportLost", "share of reports", &p.ReportLossRate},
		{"cacheEventEvery", "duration between batches", &p.CacheEventInterval},
		{"cacheEventLate", "duration", &p.CacheEventDelay},
		{"cacheEventLost", "share of events", &p.CacheEventLossRate},
		{"network", "duration one way between data centres", &p.NetworkDelay},
		{"connectTimeout", "duration until an unanswered connection attempt fails", &p.ConnectTimeout},
		{"silenceTimeout", "duration until an idle stream times out", &p.SilenceTimeout},
		{"listLate", "delay until a change shows in the instance list", &p.DiscoveryDelay},
		{"orderLate", "delay from a decision until it reaches the engine", &p.OrderDelay},
		{"tick", "duration between timer events of an instance", &p.TickInterval},
		{"callerPatience", "multiple of the deadline after which a caller disconnects", &p.CallerTimeoutFactor},
		{"callers", "count", &p.Callers},
		{"sharedPrefixes", "count of distinct shared prefixes", &p.SharedPrefixes},
		{"phaseMin", "duration", &p.PhaseMin},
		{"phaseMax", "duration", &p.PhaseMax},
		{"rampMax", "duration", &p.RampMax},
		{"prefillShareMin", "share of engine time", &p.PrefillShareMin},
		{"prefillShareMax", "share of engine time", &p.PrefillShareMax},
		{"questionShareMin", "share of engine time of short questions", &p.QuestionShareMin},
		{"questionShareMax", "share of engine time of short questions", &p.QuestionShareMax},
		{"burstShare", "share of phases with a burst", &p.BurstShare},
		{"burstFactor", "multiple of the phase's rate", &p.BurstFactor},
		{"burstMin", "duration", &p.BurstMin},
		{"burstMax", "duration", &p.BurstMax},
		{"burstVariation", "coefficient of variation of interarrival times in bursts", &p.BurstVariation},
		{"slowFactor", "multiple of the normal execution time", &p.SlowdownFactor},
		{"faultLength", "duration of a crash or an isolated data centre", &p.FaultDuration},
		{"longFaultLength", "duration of slowness, frozen reports or a log outage", &p.LongFaultDuration},
	}
	for i := range p.Classes {
		rows = append(rows, p.Classes[i].table()...)
	}
	return rows
}

// table lists the parameters of one class.
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

// Set overrides one parameter, given as "name=value".
func (p *Parameters) Set(assignment string) error {
	name, text, ok := strings.Cut(assignment, "=")
	if !ok {
		return fmt.Errorf("simulator: override %q is not of the form name=value", assignment)
	}
	for _, row := range p.table() {
		if row.name == name {
			return row.set(text)
		}
	}
	return fmt.Errorf("simulator: unknown parameter %q", name)
}

// set parses text into the field of the parameter, by the type of the field.
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
		return fmt.Errorf("simulator: parameter %s (%s): %w", r.name, r.unit, err)
	}
	return nil
}
