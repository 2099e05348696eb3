package commander

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// getPath sends a GET request to an instance: get NAME PATH.
func getPath(ts *testscript.TestScript, _ bool, args []string) {
	fmt.Fprintln(ts.Stdout(), sendRequest(http.MethodGet, processOf(ts, args[0]).url+args[1], nil, nil))
}

// askModel sends a chat request: ask NAME CLASS whole|stream [PROMPT-BYTES].
func askModel(ts *testscript.TestScript, _ bool, args []string) {
	fmt.Fprintln(ts.Stdout(), ask(processOf(ts, args[0]).url, args[1], args[2] == "stream", promptBytes(args[3:])))
}

func promptBytes(args []string) int {
	length := 400
	if len(args) > 0 {
		_, _ = fmt.Sscan(args[0], &length)
	}
	return length
}

func ask(url, class string, stream bool, length int) string {
	prompt := strings.Repeat("m", length)
	body := fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}],"stream":%t}`, prompt, stream)
	headers := map[string]string{"X-Rosemaryspool-Class": class, "X-Rosemaryspool-Caller": "hangar-istanbul"}
	return sendRequest(http.MethodPost, url+"/v1/chat/completions", body, headers)
}

// startStream starts a streamed chat request in the background: begin ID NAME CLASS.
func startStream(ts *testscript.TestScript, _ bool, args []string) {
	url := processOf(ts, args[1]).url
	response := make(chan string, 1)
	scenarioOf(ts).streams[args[0]] = response
	go func() { response <- ask(url, args[2], true, promptBytes(nil)) }()
}

// awaitStream waits for a background request and prints its response: end ID.
func awaitStream(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case response := <-scenarioOf(ts).streams[args[0]]:
		fmt.Fprintln(ts.Stdout(), response)
	case <-time.After(scenarioTimeout):
		ts.Fatalf("request %s did not end", args[0])
	}
}

// callService calls the service atolye-app: call NAME CLASS KEY [BODY]. The key - sends none.
func callService(ts *testscript.TestScript, _ bool, args []string) {
	body := "{}"
	if len(args) > 3 {
		body = args[3]
	}
	headers := map[string]string{
		"X-Rosemaryspool-Class": args[1], "X-Rosemaryspool-Caller": "hangar-istanbul", "Content-Type": "application/json",
	}
	if args[2] != "-" {
		headers["Idempotency-Key"] = args[2]
		headers["X-Rosemaryspool-Key-Issued-At"] = time.Now().UTC().Format(time.RFC3339)
	}
	url := processOf(ts, args[0]).url + "/v1/services/atolye-app/" + args[1]
	fmt.Fprintln(ts.Stdout(), sendRequest(http.MethodPost, url, []byte(body), headers))
}
