package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// Phase is a stretch of the run with one mix.
type Phase struct {
	Start  time.Duration
	Length time.Duration
	// Ramp is how long the rates move from the former phase's to this one's.
	Ramp       time.Duration
	BurstStart time.Duration
	BurstEnd   time.Duration
	// PrefillShare is the share of engine time that the phase's mix spends on prefill.
	PrefillShare float64
	// Rates holds the arrivals a second of each class.
	Rates []float64
	// Mix is the work of one second of arrivals.
	Mix work
	// UrgentFits tells whether the fleet could serve the urgent classes alone, with a little room.
	UrgentFits bool
}

// Request is one request with all that the fakes know of it; policies see only what its event tells.
type Request struct {
	ID       identifier.RequestID
	Class    int
	Caller   identifier.CallerID
	Arrival  time.Duration
	Deadline time.Duration
	Instance int
	Prompt   identifier.Tokens
	Output   identifier.Tokens
	Prefix   []identifier.PrefixHash
	// Uncached is the prefill work that an unlimited cache leaves.
	Uncached identifier.Tokens
}

// Workload is everything that arrives in one run; it is the same for all policies.
type Workload struct {
	Parameters Parameters
	Length     time.Duration
	Load       float64
	Phases     []Phase
	Requests   []Request
	// Mean is the average work a second over the run.
	Mean work
}

// source returns a random source for one purpose, so that one purpose's draws do not move another's.
func newRandom(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// NewWorkload draws the phases and arrivals of one seed.
func NewWorkload(f Parameters, seed uint64, load float64, length time.Duration) *Workload {
	w := &Workload{Parameters: f, Length: length, Load: load}
	w.drawPhases(seed, newFluidModel(f, f.stepLimit(meanOutput)), f.meanWork())
	w.drawArrivals(seed)
	return w
}

// meanWork estimates the mean work of an answer of each class, with an unlimited cache.
func (f Parameters) meanWork() []work {
	const samples = 4000
	random := newRandom(1, "meanWork")
	works := make([]work, len(f.Classes))
	for i, c := range f.Classes {
		for range samples {
			prompt, shared := c.drawPrompt(random)
			uncached := prompt - shared/f.PieceTokens*f.PieceTokens
			works[i].prefill += float64(uncached) / f.PrefillPerSecond / samples
		}
		works[i].decode = (meanOutput(c) - 1) * f.decodeSeconds()
	}
	return works
}

// decodeSeconds returns the engine time of one output token in a full batch.
func (f Parameters) decodeSeconds() float64 {
	return f.stepSeconds(float64(f.MaxBatch)) / float64(f.MaxBatch)
}

// drawPrompt draws a prompt's length and its shared part.
func (c Class) drawPrompt(random *rand.Rand) (prompt, shared identifier.Tokens) {
	prompt = c.PromptMin + identifier.Tokens(random.IntN(int(c.PromptMax-c.PromptMin)+1))
	share := c.SharedMin + random.Float64()*(c.SharedMax-c.SharedMin)
	return prompt, identifier.Tokens(float64(prompt) * share)
}

// drawPhases draws the phases and sets their rates to the wanted share of the best split's capacity.
func (w *Workload) drawPhases(seed uint64, limits fluidModel, each []work) {
	random := newRandom(seed, "phases")
	f := w.Parameters
	for at := time.Duration(0); at < w.Length; {
		p := Phase{Start: at, Length: drawDuration(random, f.PhaseMin, f.PhaseMax)}
		p.Ramp = min(drawDuration(random, 0, f.RampMax), p.Length)
		burst := random.Float64() < f.BurstShare
		length := drawDuration(random, f.BurstMin, f.BurstMax)
		offset := time.Duration(random.Float64() * float64(p.Length-length))
		if burst {
			p.BurstStart, p.BurstEnd = at+offset, at+offset+length
		}
		p.PrefillShare = f.PrefillShareMin + random.Float64()*(f.PrefillShareMax-f.PrefillShareMin)
		questions := f.QuestionShareMin + random.Float64()*(f.QuestionShareMax-f.QuestionShareMin)
		mix := f.responsesPerEngineSecond(each, p.PrefillShare, questions)
		for i, answers := range mix {
			p.Mix = p.Mix.add(each[i].scaled(answers))
		}
		_, capacity := limits.bestSplit(f.Engines, p.Mix)
		for _, answers := range mix {
			p.Rates = append(p.Rates, answers*capacity*w.Load)
		}
		p.Mix = p.Mix.scaled(capacity * w.Load)
		p.UrgentFits = f.urgentFits(limits, each, p.Rates)
		p.Length = min(p.Length, w.Length-at)
		w.Phases = append(w.Phases, p)
		w.Mean = w.Mean.add(p.Mix.scaled(float64(p.Length) / float64(w.Length)))
		at += p.Length
	}
}

// urgentRoom is the share of the capacity that urgent work may take and still count as fitting.
const maxUrgentShare = 0.95

// urgentFits reports whether the urgent classes alone fit the best split.
func (f Parameters) urgentFits(limits fluidModel, each []work, rates []float64) bool {
	var urgent work
	for i, c := range f.Classes {
		if c.Urgent {
			urgent = urgent.add(each[i].scaled(rates[i]))
		}
	}
	_, times := limits.bestSplit(f.Engines, urgent)
	return times*maxUrgentShare >= 1
}

// answersOfMix returns the answers of each class in one engine second of work with a share of prefill. Questions get
// less than their wanted share when the mix could not have so little prefill otherwise.
func (f Parameters) responsesPerEngineSecond(each []work, prefillShare, questionShare float64) []float64 {
	counts, parts := map[Kind]float64{}, map[Kind]float64{}
	for i, c := range f.Classes {
		counts[c.Kind]++
		parts[c.Kind] += each[i].prefill / each[i].total()
	}
	for kind := range parts {
		parts[kind] /= counts[kind]
	}
	file, draft, question := parts[KindDocument], parts[KindDraft], parts[KindQuestion]
	questionShare = min(questionShare, max(prefillShare-draft, 0)/(question-draft))
	rest := 1 - questionShare
	files := (prefillShare - questionShare*question - rest*draft) / (file - draft)
	shares := map[Kind]float64{KindDocument: files, KindDraft: rest - files, KindQuestion: questionShare}
	answers := make([]float64, len(each))
	for i, c := range f.Classes {
		answers[i] = shares[c.Kind] / counts[c.Kind] / each[i].total()
	}
	return answers
}

// between draws a duration.
func drawDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// rate returns a class's arrivals a second at a time and whether a burst is on.
func (w *Workload) rate(phase, class int, at time.Duration) (float64, bool) {
	p := w.Phases[phase]
	rate := p.Rates[class]
	if since := at - p.Start; phase > 0 && since < p.Ramp {
		former := w.Phases[phase-1].Rates[class]
		rate = former + (rate-former)*float64(since)/float64(p.Ramp)
	}
	if at >= p.BurstStart && at < p.BurstEnd {
		return rate * w.Parameters.BurstFactor, true
	}
	return rate, false
}

// arrivalStep is the resolution at which a changing rate is followed.
const arrivalStep = 10 * time.Millisecond

// drawArrivals draws every request of the run and spreads them over the instances in turn, as a balancer does.
func (w *Workload) drawArrivals(seed uint64) {
	for class := range w.Parameters.Classes {
		w.drawClass(seed, class)
	}
	sortRequests(w.Requests)
	random := newRandom(seed, "balancer")
	seen := map[identifier.PrefixHash]bool{}
	for i := range w.Requests {
		r := &w.Requests[i]
		r.ID = identifier.RequestID(fmt.Sprintf("r%d", i))
		r.Instance = random.IntN(w.Parameters.Instances)
		r.Uncached = w.uncached(r, seen)
	}
}

// uncached returns the prefill work left by a cache that forgets nothing.
func (w *Workload) uncached(r *Request, seen map[identifier.PrefixHash]bool) identifier.Tokens {
	pieces := 0
	for i, h := range r.Prefix {
		if seen[h] && pieces == i {
			pieces++
		}
		seen[h] = true
	}
	return max(r.Prompt-identifier.Tokens(pieces)*w.Parameters.PieceTokens, 1)
}

// drawClass draws one class's arrivals by following its accumulated rate.
func (w *Workload) drawClass(seed uint64, class int) {
	name := string(w.Parameters.Classes[class].Name)
	gaps, bodies := newRandom(seed, "gaps "+name), newRandom(seed, "bodies "+name)
	phase, passed, next := 0, 0.0, drawGap(gaps, 1)
	for at := time.Duration(0); at < w.Length; at += arrivalStep {
		for phase+1 < len(w.Phases) && at >= w.Phases[phase+1].Start {
			phase++
		}
		rate, burst := w.rate(phase, class, at)
		passed += rate * arrivalStep.Seconds()
		for passed >= next {
			offset := time.Duration(float64(arrivalStep) * (1 - (passed-next)/(rate*arrivalStep.Seconds())))
			w.Requests = append(w.Requests, w.drawRequest(bodies, class, at+offset))
			variation := 1.0
			if burst {
				variation = w.Parameters.BurstVariation
			}
			next += drawGap(gaps, variation)
		}
	}
}

// drawRequest draws one request's lengths and prefix.
func (w *Workload) drawRequest(random *rand.Rand, class int, at time.Duration) Request {
	c := w.Parameters.Classes[class]
	prompt, shared := c.drawPrompt(random)
	output := c.OutputMin + identifier.Tokens(random.IntN(int(c.OutputMax-c.OutputMin)+1))
	common, own := drawZipf(random, w.Parameters.SharedPrefixes), random.Uint64()
	caller := fmt.Sprintf("caller%d", random.IntN(w.Parameters.Callers))
	return Request{
		Class: class, Caller: identifier.CallerID(caller), Arrival: at, Deadline: at + c.Deadline,
		Prompt: prompt, Output: output, Prefix: hashPrefix(w.Parameters.PieceTokens, prompt, shared, uint64(common), own),
	}
}

// hashPrefix returns rolling hashes of the prompt's whole pieces; pieces within the shared part have common hashes.
func hashPrefix(piece, prompt, shared identifier.Tokens, common, own uint64) []identifier.PrefixHash {
	count := int(prompt / piece)
	hashes := make([]identifier.PrefixHash, count)
	for i := range hashes {
		text := fmt.Sprintf("shared %d %d", common, i)
		if identifier.Tokens(i+1)*piece > shared {
			text = fmt.Sprintf("own %d %d", own, i)
		}
		hashes[i] = identifier.PrefixHash(xxhash.Sum64String(text))
	}
	return hashes
}

// drawZipf draws a number below n with weights 1, 1/2, 1/3 and so on.
func drawZipf(random *rand.Rand, n int) int {
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+1)
	}
	left := random.Float64() * sum
	for i := range n {
		if left -= 1 / float64(i+1); left < 0 {
			return i
		}
	}
	return n - 1
}

// gap draws a gap of mean one: exponential, or gamma with a coefficient of variation other than one.
func drawGap(random *rand.Rand, variation float64) float64 {
	if variation == 1 {
		return random.ExpFloat64()
	}
	shape := 1 / (variation * variation)
	return drawGamma(random, shape) / shape
}

// drawGamma draws from the gamma distribution of scale one by the method of Marsaglia and Tsang.
func drawGamma(random *rand.Rand, shape float64) float64 {
	if shape < 1 {
		return drawGamma(random, shape+1) * math.Pow(random.Float64(), 1/shape)
	}
	d := shape - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := random.NormFloat64()
		v := 1 + c*x
		if v <= 0 {
			continue
		}
		v = v * v * v
		if math.Log(random.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v
		}
	}
}
