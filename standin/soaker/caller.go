package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemaryspool.example/standin/emulator"
)

// kind is a kind of request. Each has a route in routeTable.
type kind struct {
	name    string
	path    string
	method  string
	timeout time.Duration
	// repeatable is true if a request may run more than once.
	repeatable bool
	stream     bool
	// resumable is true if callers take a broken stream up again.
	resumable bool
	weight    int
}

// kinds lists the kinds of requests. A name is that of the route in routeTable, a weight the relative frequency.
var kinds = []kind{
	{name: "orders", path: "/orders/", method: http.MethodPost, timeout: time.Second, weight: 4},
	{name: "lookups", path: "/lookups/", method: http.MethodGet, timeout: time.Second, repeatable: true, weight: 3},
	{
		name: "verdicts", path: "/verdicts/", method: http.MethodPost, timeout: 2 * time.Second, repeatable: true,
		stream: true, resumable: true, weight: 4,
	},
	{name: "notes", path: "/notes/", method: http.MethodPost, timeout: 2 * time.Second, stream: true, weight: 1},
}

func kindNamed(name string) kind {
	return kinds[slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })]
}

// routeTable is the configuration of the routes. Its format verbs are the version, the service of each plain route, and the
// client accounts.
const routeTable = `{"version":%d,"routes":[
{"name":"orders","host":"h.example","path-prefix":"/orders/","kind":"non_idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":1,"service":%q},
{"name":"lookups","host":"h.example","path-prefix":"/lookups/","kind":"idempotent","timeout-ms":1000,
 "target-latency-ms":300,"priority":2,"max-attempts":2,"service":%q},
{"name":"verdicts","host":"h.example","path-prefix":"/verdicts/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":120,"priority":0,"max-attempts":2,"resumable":true,"service":"model"},
{"name":"notes","host":"h.example","path-prefix":"/notes/","kind":"streaming","timeout-ms":2000,
 "target-latency-ms":200,"priority":1,"max-attempts":1,"service":"model"}],
"services":[{"name":"plain","max-connections":200},{"name":"spare","max-connections":200},
 {"name":"model","max-connections":200,"engine":{"slots":6}}]%s}`

// forgedPin is the value that callers send in a header that only instances may set. It must not reach an upstream.
const forgedPin = "60000"

// host is the host name of all routes.
const host = "h.example"

// attempt is one request of a caller and its outcome.
type attempt struct {
	id       string
	kind     kind
	instance int
	uri      string
	body     string
	sent     time.Time
	// ended is when the response was complete or the connection ended. The caller of an abandoned request closes the
	// connection after abandonAfter.
	ended     time.Time
	abandoned bool

	// status is zero if there was no response; responseID is the attempt ID in the response's header.
	status     int
	responseID string
	signature  string
	content    string
	// part is the second part of the prompt of a request for a stream.
	part string
	// key is nil if there are no accounts.
	key *key
	// complete is true if the response was read to its regular end.
	complete bool
	// resumes is the request that began the stream, lastEvent the last event that the caller has; empty and zero for a new
	// stream.
	resumes   string
	lastEvent int
}

// stream returns the id of the request that began the stream.
func (a *attempt) stream() string {
	if a.resumes != "" {
		return a.resumes
	}
	return a.id
}

// incomplete reports whether the connection ended, or the caller timed out, before the response was complete. Abandoned
// requests don't count.
func (a *attempt) incomplete() bool { return !a.complete && !a.abandoned }

// caller sends requests over kept-alive connections. It stays with an instance until a request fails there.
type caller struct {
	name     string
	random   *rand.Rand
	client   *http.Client
	targets  []string
	instance int
	// fatal is true for a caller some of whose requests crash the upstreams that run them.
	fatal bool
	// keys is nil if there are no accounts; the caller with number i has the i-th key. draws decides on foreign keys, so that
	// a seed's requests are the same with and without keys.
	keys   *keyring
	number int
	draws  *rand.Rand

	mu       sync.Mutex
	attempts []*attempt
}

const (
	// callerMargin is how long a caller waits beyond its route's timeout, so that late final responses are observed.
	callerMargin = 3 * time.Second
	// shortPause and longPause bound the time between two requests of a caller.
	shortPause = 20 * time.Millisecond
	longPause  = 200 * time.Millisecond
	// abandonAfter is when the caller of an abandoned request closes the connection. One request in abandonOneIn is
	// abandoned.
	abandonAfter = 30 * time.Millisecond
	abandonOneIn = 20
	// maxResumptions is how often a caller takes up one stream.
	maxResumptions = 2
	// subjects is the number of second parts that prompts share.
	subjects = 20
	// largeOneIn is the share of the lookups that ask for a response of a megabyte.
	largeOneIn = 6
)

func newCaller(name string, random *rand.Rand, targets []string) *caller {
	return &caller{
		name: name, random: random, targets: targets, instance: random.IntN(len(targets)),
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
		}},
	}
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		a := c.newAttempt(n)
		c.record(a)
		for tries := 0; !c.send(a); tries++ {
			c.instance = (c.instance + 1) % len(c.targets)
			next := c.resumption(a, tries)
			if next == nil || ctx.Err() != nil {
				break
			}
			c.record(next)
			a = next
		}
		pause := shortPause + time.Duration(c.random.Int64N(int64(longPause-shortPause)))
		sleep(ctx, pause)
	}
}

func (c *caller) record(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// resumption returns the request that takes up a stream that broke off; nil if there is none.
func (c *caller) resumption(a *attempt, tries int) *attempt {
	numbers, err := eventNumbers(a.content)
	if !a.kind.resumable || !a.incomplete() || err != nil || len(numbers) == 0 || tries >= maxResumptions {
		return nil
	}
	return &attempt{
		id: fmt.Sprintf("%s-r%d", a.stream(), tries), kind: a.kind, instance: c.instance, uri: a.uri, body: a.body, part: a.part,
		resumes: a.stream(), lastEvent: numbers[len(numbers)-1], key: a.key,
	}
}

func (c *caller) newAttempt(n int) *attempt {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	draw := c.random.IntN(total)
	chosen := kinds[0]
	for _, k := range kinds {
		if draw < k.weight {
			chosen = k
			break
		}
		draw -= k.weight
	}
	a := &attempt{
		id: fmt.Sprintf("%s-%d", c.name, n), kind: chosen, instance: c.instance,
		uri:       fmt.Sprintf("%s%d?n=%d&q=a%%2Fb", chosen.path, n, c.random.IntN(100)),
		abandoned: c.random.IntN(abandonOneIn) == 0,
	}
	if n%largeOneIn == 0 && chosen.name == "lookups" {
		a.uri = emulator.LargePath + strings.TrimPrefix(a.uri, chosen.path)
	}
	a.part = fmt.Sprint("s", c.random.IntN(subjects))
	if c.fatal {
		c.makeFatal(a)
	}
	if c.keys != nil {
		a.key = c.keys.pick(c.number, c.draws.IntN(foreignOneIn))
	}
	if chosen.method == http.MethodPost {
		a.body = strings.Repeat(a.id+" ", 1+c.random.IntN(200))
	}
	return a
}

// send sends one request and records its outcome. It returns false if the instance didn't accept the connection or sent
// no complete response, except to an abandoned request.
func (c *caller) send(a *attempt) bool {
	timeout := a.kind.timeout + callerMargin
	if a.abandoned {
		timeout = abandonAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// io.MultiReader hides that the body can be rewound, so that the HTTP client never sends it twice.
	r, err := http.NewRequestWithContext(
		ctx, a.kind.method, "http://"+c.targets[a.instance]+a.uri, io.MultiReader(strings.NewReader(a.body)),
	)
	if err != nil {
		return false
	}
	r.Host, r.ContentLength = host, int64(len(a.body))
	if a.body == "" {
		r.Body = http.NoBody
	}
	r.Header.Set(emulator.HeaderAttempt, a.id)
	r.Header.Set(emulator.HeaderDeadline, fmt.Sprint(a.kind.timeout.Milliseconds()))
	r.Header.Set(emulator.HeaderPin, forgedPin)
	if a.key != nil {
		r.Header.Set(emulator.HeaderKey, a.key.text)
		r.Header.Set(emulator.HeaderAccount, forgedAccount)
	}
	if a.kind.stream {
		r.Header.Set(emulator.HeaderModel, "m")
		r.Header.Set(emulator.HeaderTokens, "2000,8")
		r.Header.Set(emulator.HeaderPrompt, fmt.Sprintf("root:800,%s:600,%s:600", a.part, a.id))
	}
	if a.resumes != "" {
		r.Header.Set(emulator.HeaderResumes, a.resumes)
		r.Header.Set(emulator.HeaderLastEvent, fmt.Sprint(a.lastEvent))
	}
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	response, err := c.client.Do(r)
	if err != nil {
		return a.abandoned
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.responseID = response.Header.Get(emulator.HeaderAttempt)
	a.signature = response.Header.Get(emulator.HeaderSignature)
	content, err := io.ReadAll(response.Body)
	a.content, a.complete = string(content), err == nil
	if strings.HasPrefix(a.uri, emulator.LargePath) {
		a.content = summarizeLarge(a.content)
	}
	return err == nil || a.abandoned
}

// maxLargeKept is how much is kept of a large response that is not whole.
const maxLargeKept = 64

// summarizeLarge replaces a whole large response by the usual one, and shortens others, so that a run's responses fit into
// memory.
func summarizeLarge(content string) string {
	if emulator.IsLargeBody(content) {
		return emulator.ResponseBody
	}
	return content[:min(len(content), maxLargeKept)]
}

// eventNumbers returns the event IDs of a stream in the order in which they were received.
func eventNumbers(content string) ([]int, error) {
	var numbers []int
	// What follows the last blank line is no complete event.
	content = content[:max(0, strings.LastIndex(content, "\n\n"))]
	lines := bufio.NewScanner(strings.NewReader(content))
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		n := 0
		if _, err := fmt.Sscan(text, &n); err != nil {
			return nil, errors.New("event without a number: " + text)
		}
		numbers = append(numbers, n)
	}
	return numbers, lines.Err()
}
