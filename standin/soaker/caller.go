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
	"strings"
	"sync"
	"time"

	"rosemaryspool.example/standin/platformer"
)

// kind is one kind of request, as the operator's routes name it.
type kind struct {
	name    string
	path    string
	method  string
	timeout time.Duration
	// repeatable requests may run more than once.
	repeatable bool
	stream     bool
	weight     int
}

// Kinds of requests. Their names are those of the routes in routeTable.
var kinds = []kind{
	{name: "orders", path: "/orders/", method: http.MethodPost, timeout: time.Second, weight: 4},
	{name: "lookups", path: "/lookups/", method: http.MethodGet, timeout: time.Second, repeatable: true, weight: 3},
	{name: "verdicts", path: "/verdicts/", method: http.MethodPost, timeout: 2 * time.Second, repeatable: true, stream: true, weight: 4},
	{name: "notes", path: "/notes/", method: http.MethodPost, timeout: 2 * time.Second, stream: true, weight: 1},
}

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
 {"name":"model","max-connections":200,"engine":{"slots":6}}]}`

// callersPin is sent in a header that only instances may set.
const forgedPin = "60000"

// host is the one that all routes belong to.
const host = "h.example"

// attempt is one request of a caller and what came of it.
type attempt struct {
	id       string
	kind     kind
	instance int
	uri      string
	body     string
	sent     time.Time
	// ended is when the answer was whole or the connection ended; left is true when the caller did not wait for it.
	ended time.Time
	abandoned  bool

	// status is zero without an answer.
	status    int
	answerID  string
	signature string
	content   string
	// whole is true when the answer came to its proper end.
	complete bool
}

// unanswered tells whether the connection ended, or the caller gave up, before an answer's end.
func (a *attempt) unanswered() bool { return !a.complete && !a.abandoned }

// caller sends requests over kept connections and stays with an instance until that does not take any more.
type caller struct {
	name     string
	random   *rand.Rand
	client   *http.Client
	targets  []string
	instance int

	mu       sync.Mutex
	attempts []*attempt
}

const (
	// callerPatience is added to a route's time before a caller gives up, so that late final answers are seen.
	callerMargin = 3 * time.Second
	// shortPause and longPause bound the time between two requests of a caller.
	shortPause = 20 * time.Millisecond
	longPause  = 200 * time.Millisecond
	// leaveAfter is when an impatient caller goes; one request in leaveOneIn has one.
	abandonAfter = 30 * time.Millisecond
	abandonOneIn = 20
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
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if !c.send(a) {
			c.instance = (c.instance + 1) % len(c.targets)
		}
		pause := shortPause + time.Duration(c.random.Int64N(int64(longPause-shortPause)))
		sleep(ctx, pause)
	}
}

func (c *caller) newAttempt(n int) *attempt {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	at := c.random.IntN(total)
	chosen := kinds[0]
	for _, k := range kinds {
		if at < k.weight {
			chosen = k
			break
		}
		at -= k.weight
	}
	a := &attempt{
		id: fmt.Sprintf("%s-%d", c.name, n), kind: chosen, instance: c.instance,
		uri:  fmt.Sprintf("%s%d?n=%d&q=a%%2Fb", chosen.path, n, c.random.IntN(100)),
		abandoned: c.random.IntN(abandonOneIn) == 0,
	}
	if chosen.method == http.MethodPost {
		a.body = strings.Repeat(a.id+" ", 1+c.random.IntN(200))
	}
	return a
}

// send sends one request and notes what came back; false when the instance took no connection or left the request
// without an answer.
func (c *caller) send(a *attempt) bool {
	patience := a.kind.timeout + callerMargin
	if a.abandoned {
		patience = abandonAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// A body without a length that can be rewound keeps the client from sending it twice.
	r, err := http.NewRequestWithContext(ctx, a.kind.method, "http://"+c.targets[a.instance]+a.uri, io.MultiReader(strings.NewReader(a.body)))
	if err != nil {
		return false
	}
	r.Host, r.ContentLength = host, int64(len(a.body))
	if a.body == "" {
		r.Body = http.NoBody
	}
	r.Header.Set(platformer.HeaderAttempt, a.id)
	r.Header.Set(platformer.HeaderDeadline, fmt.Sprint(a.kind.timeout.Milliseconds()))
	r.Header.Set(platformer.HeaderPin, forgedPin)
	if a.kind.stream {
		r.Header.Set(platformer.HeaderModel, "m")
		r.Header.Set(platformer.HeaderTokens, "2000,8")
		r.Header.Set(platformer.HeaderPrompt, fmt.Sprintf("root:800,s%d:600,%s:600", c.random.IntN(20), a.id))
	}
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	response, err := c.client.Do(r)
	if err != nil {
		return a.abandoned
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.answerID = response.Header.Get(platformer.HeaderAttempt)
	a.signature = response.Header.Get(platformer.HeaderSignature)
	content, err := io.ReadAll(response.Body)
	a.content, a.complete = string(content), err == nil
	return err == nil || a.abandoned
}

// events returns the numbers of a stream's whole events in their order.
func eventNumbers(content string) ([]int, error) {
	var numbers []int
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
