package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosemaryspool.example/core/identifier"
)

// Phase is a period of the run with one mix of request classes.
type Phase struct {
	Start  time.Duration
	Length time.Duration
	// Ramp is the time over which rates move linearly from the previous phase's to this one's.
	Ramp       time.Duration
	BurstStart time.Duration
	BurstEnd   time.Duration
	// PrefillShare is the fraction of engine time that the phase's mix spends on prefill.
	PrefillShare float64
	// Rates holds the arrivals per second of each class.
	Rates []float64
	// Mix is the work that arrives per second.
	Mix work
	// UrgentFits reports whether the fleet could serve the urgent classes alone, with 5 % of its capacity to spare.
	UrgentFits bool
}

// Request is one simulated request with everything known in advance, such as the length of its output. Policies get
// only the fields of the RequestArrived event.
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
	// Uncached is the number of prompt tokens that an unlimited cache would not hold.
	Uncached identifier.Tokens
}

// Workload holds the phases and requests of one run; it is the same for all policies.
type Workload struct {
	Parameters Parameters
	Length     time.Duration
	Load       float64
	Phases     []Phase
	Requests   []Request
	// Mean is the average work that arrives per second over the run.
	Mean work
}

// newRandom returns the random source for one purpose. Separate sources keep the draws for one purpose from changing
// those for another.
func newRandom(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// NewWorkload draws the phases and arrivals of a run from a seed. load is the offered load as a fraction of the best
// split's capacity.
func NewWorkload(p Parameters, seed uint64, load float64, length time.Duration) *Workload {
	w := &Workload{Parameters: p, Length: length, Load: load}
	w.drawPhases(seed, newFluidModel(p, p.stepLimit(meanOutput)), p.meanWork())
	w.drawArrivals(seed)
	return w
}

// meanWork estimates the mean work per response of each class by sampling, assuming an unlimited cache.
func (p Parameters) meanWork() []work {
	const samples = 4000
	random := newRandom(1, "meanWork")
	perResponse := make([]work, len(p.Classes))
	for i, c := range p.Classes {
		for range samples {
			prompt, shared := c.drawPrompt(random)
			uncached := prompt - shared/p.BlockTokens*p.BlockTokens
			perResponse[i].prefill += float64(uncached) / p.PrefillPerSecond / samples
		}
		perResponse[i].decode = (meanOutput(c) - 1) * p.decodeSeconds()
	}
	return perResponse
}

// decodeSeconds returns the engine time per output token in a full batch.
func (p Parameters) decodeSeconds() float64 {
	return p.stepSeconds(float64(p.MaxBatch)) / float64(p.MaxBatch)
}

// drawPrompt draws the length of a prompt and of its shared prefix.
func (c Class) drawPrompt(random *rand.Rand) (prompt, shared identifier.Tokens) {
	prompt = c.PromptMin + identifier.Tokens(random.IntN(int(c.PromptMax-c.PromptMin)+1))
	share := c.SharedMin + random.Float64()*(c.SharedMax-c.SharedMin)
	return prompt, identifier.Tokens(float64(prompt) * share)
}

// drawPhases draws the phases and scales their rates to the load, a fraction of the best split's capacity.
func (w *Workload) drawPhases(seed uint64, model fluidModel, perResponse []work) {
	random := newRandom(seed, "phases")
	parameters := w.Parameters
	for at := time.Duration(0); at < w.Length; {
		p := Phase{Start: at, Length: drawDuration(random, parameters.PhaseMin, parameters.PhaseMax)}
		p.Ramp = min(drawDuration(random, 0, parameters.RampMax), p.Length)
		burst := random.Float64() < parameters.BurstShare
		length := drawDuration(random, parameters.BurstMin, parameters.BurstMax)
		offset := time.Duration(random.Float64() * float64(p.Length-length))
		if burst {
			p.BurstStart, p.BurstEnd = at+offset, at+offset+length
		}
		p.PrefillShare = parameters.PrefillShareMin +
			random.Float64()*(parameters.PrefillShareMax-parameters.PrefillShareMin)
		questions := parameters.QuestionShareMin +
			random.Float64()*(parameters.QuestionShareMax-parameters.QuestionShareMin)
		perEngineSecond := parameters.responsesPerEngineSecond(perResponse, p.PrefillShare, questions)
		for i, responses := range perEngineSecond {
			p.Mix = p.Mix.add(perResponse[i].scaled(responses))
		}
		_, capacity := model.bestSplit(parameters.Engines, p.Mix)
		for _, responses := range perEngineSecond {
			p.Rates = append(p.Rates, responses*capacity*w.Load)
		}
		p.Mix = p.Mix.scaled(capacity * w.Load)
		p.UrgentFits = parameters.urgentFits(model, perResponse, p.Rates)
		p.Length = min(p.Length, w.Length-at)
		w.Phases = append(w.Phases, p)
		w.Mean = w.Mean.add(p.Mix.scaled(float64(p.Length) / float64(w.Length)))
		at += p.Length
	}
}

// maxUrgentShare is the largest fraction of the capacity that urgent work may take and still count as fitting.
const maxUrgentShare = 0.95

// urgentFits reports whether the best split could serve the urgent classes alone.
func (p Parameters) urgentFits(model fluidModel, perResponse []work, rates []float64) bool {
	var urgent work
	for i, c := range p.Classes {
		if c.Urgent {
			urgent = urgent.add(perResponse[i].scaled(rates[i]))
		}
	}
	_, capacity := model.bestSplit(p.Engines, urgent)
	return capacity*maxUrgentShare >= 1
}

// responsesPerEngineSecond returns the number of responses of each class in one engine second of work, for a mix with
// the given fraction of prefill. Questions get less than questionShare if the mix would otherwise exceed that fraction.
func (p Parameters) responsesPerEngineSecond(perResponse []work, prefillShare, questionShare float64) []float64 {
	counts, parts := map[Kind]float64{}, map[Kind]float64{}
	for i, c := range p.Classes {
		counts[c.Kind]++
		parts[c.Kind] += perResponse[i].prefill / perResponse[i].total()
	}
	for kind := range parts {
		parts[kind] /= counts[kind]
	}
	document, draft, question := parts[KindDocument], parts[KindDraft], parts[KindQuestion]
	questionShare = min(questionShare, max(prefillShare-draft, 0)/(question-draft))
	rest := 1 - questionShare
	documents := (prefillShare - questionShare*question - rest*draft) / (document - draft)
	shares := map[Kind]float64{KindDocument: documents, KindDraft: rest - documents, KindQuestion: questionShare}
	responses := make([]float64, len(perResponse))
	for i, c := range p.Classes {
		responses[i] = shares[c.Kind] / counts[c.Kind] / perResponse[i].total()
	}
	return responses
}

// drawDuration draws a duration uniformly from the range.
func drawDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// rate returns a class's arrivals per second at a time of the run and reports whether a burst is active then.
func (w *Workload) rate(phase, class int, at time.Duration) (float64, bool) {
	p := w.Phases[phase]
	rate := p.Rates[class]
	if since := at - p.Start; phase > 0 && since < p.Ramp {
		previous := w.Phases[phase-1].Rates[class]
		rate = previous + (rate-previous)*float64(since)/float64(p.Ramp)
	}
	if at >= p.BurstStart && at < p.BurstEnd {
		return rate * w.Parameters.BurstFactor, true
	}
	return rate, false
}

// arrivalStep is the step at which a changing arrival rate is integrated.
const arrivalStep = 10 * time.Millisecond

// drawArrivals draws every request of the run and assigns each to a random instance, as a load balancer would.
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

// uncached returns the number of prompt tokens to prefill if no cached prefix is ever evicted. It is at least one.
func (w *Workload) uncached(r *Request, seen map[identifier.PrefixHash]bool) identifier.Tokens {
	blocks := 0
	for i, h := range r.Prefix {
		if seen[h] && blocks == i {
			blocks++
		}
		seen[h] = true
	}
	return max(r.Prompt-identifier.Tokens(blocks)*w.Parameters.BlockTokens, 1)
}

// drawClass draws one class's arrivals: it integrates the rate and adds a request whenever the sum passes the next
// drawn gap.
func (w *Workload) drawClass(seed uint64, class int) {
	name := string(w.Parameters.Classes[class].Name)
	gaps, bodies := newRandom(seed, "gaps "+name), newRandom(seed, "bodies "+name)
	phase, accumulated, next := 0, 0.0, drawGap(gaps, 1)
	for at := time.Duration(0); at < w.Length; at += arrivalStep {
		for phase+1 < len(w.Phases) && at >= w.Phases[phase+1].Start {
			phase++
		}
		rate, burst := w.rate(phase, class, at)
		accumulated += rate * arrivalStep.Seconds()
		for accumulated >= next {
			offset := time.Duration(float64(arrivalStep) * (1 - (accumulated-next)/(rate*arrivalStep.Seconds())))
			w.Requests = append(w.Requests, w.drawRequest(bodies, class, at+offset))
			variation := 1.0
			if burst {
				variation = w.Parameters.BurstVariation
			}
			next += drawGap(gaps, variation)
		}
	}
}

// drawRequest draws one request's caller, lengths and prefix.
func (w *Workload) drawRequest(random *rand.Rand, class int, at time.Duration) Request {
	c := w.Parameters.Classes[class]
	prompt, shared := c.drawPrompt(random)
	output := c.OutputMin + identifier.Tokens(random.IntN(int(c.OutputMax-c.OutputMin)+1))
	common, own := drawZipf(random, w.Parameters.SharedPrefixes), random.Uint64()
	caller := fmt.Sprintf("caller%d", random.IntN(w.Parameters.Callers))
	return Request{
		Class: class, Caller: identifier.CallerID(caller), Arrival: at, Deadline: at + c.Deadline,
		Prompt: prompt, Output: output,
		Prefix: hashPrefix(w.Parameters.BlockTokens, prompt, shared, uint64(common), own),
	}
}

// hashPrefix returns one hash for each complete block of the prompt. Blocks within the shared prefix have the same
// hashes in all requests with that prefix.
func hashPrefix(blockTokens, prompt, shared identifier.Tokens, common, own uint64) []identifier.PrefixHash {
	count := int(prompt / blockTokens)
	hashes := make([]identifier.PrefixHash, count)
	for i := range hashes {
		text := fmt.Sprintf("shared %d %d", common, i)
		if identifier.Tokens(i+1)*blockTokens > shared {
			text = fmt.Sprintf("own %d %d", own, i)
		}
		hashes[i] = identifier.PrefixHash(xxhash.Sum64String(text))
	}
	return hashes
}

// drawZipf draws a number in [0, n) with weights 1, 1/2, 1/3 and so on.
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

// drawGap draws an interarrival time with mean one: exponential if the coefficient of variation is one, else gamma.
func drawGap(random *rand.Rand, variation float64) float64 {
	if variation == 1 {
		return random.ExpFloat64()
	}
	shape := 1 / (variation * variation)
	return drawGamma(random, shape) / shape
}

// drawGamma draws from the gamma distribution of scale one by the Marsaglia-Tsang method.
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
