package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/rosemaryspool/server"
)

// client uses no proxy and follows no redirects, as the daemon listens on loopback.
var client = &http.Client{
	Transport:     &http.Transport{},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

const (
	// longPromptTokens is the prompt length of urgent classes with a short answer, which check a long file.
	longPromptTokens = 12_000
	// shortPromptTokens is the prompt length of all other classes.
	shortPromptTokens = 400
	// shortAnswerTokens is the longest expected answer of a check: one word. Questions and drafts have longer answers.
	shortAnswerTokens = 4
)

// sendSamples sends requests of each class and prints a line for each. It returns an error if any request failed.
func sendSamples(ctx context.Context, base string, document *configurer.Document, output io.Writer) error {
	failed := 0
	for i := range document.Classes {
		class := &document.Classes[i]
		for _, send := range samplesFor(class) {
			started := time.Now()
			summary, err := send(ctx, base, document, class)
			took := time.Since(started).Milliseconds()
			if err != nil {
				failed++
				fmt.Fprintf(output, "class=%s result=failed durationMs=%d error=%q\n", class.Name, took, err)
				continue
			}
			fmt.Fprintf(output, "class=%s result=answered durationMs=%d %s\n", class.Name, took, summary)
		}
	}
	if failed > 0 {
		return eris.Errorf("demonstrator: %d requests failed", failed)
	}
	return nil
}

// sampleFunc sends one sample request and returns a summary of the response.
type sampleFunc func(
	ctx context.Context, base string, document *configurer.Document, class *configurer.Class,
) (string, error)

// samplesFor returns the sample requests of a class: a complete and a streamed answer for a model, one call for an
// idempotent service, and a call and its repeat under the same key for any other service.
func samplesFor(class *configurer.Class) []sampleFunc {
	if class.Model != "" {
		return []sampleFunc{sendChat, streamChat}
	}
	if class.Idempotent {
		return []sampleFunc{callService}
	}
	return []sampleFunc{callService, callService}
}

// promptFor returns a prompt of the length that is typical of the class.
func promptFor(class *configurer.Class) string {
	tokens := shortPromptTokens
	if class.Urgent && class.ExpectedOutput <= shortAnswerTokens {
		tokens = longPromptTokens
	}
	const line = "measure chest waist hip sleeve; "
	return strings.Repeat(line, tokens*hasher.BytesPerToken/len(line))
}

func sendChat(
	ctx context.Context, base string, document *configurer.Document, class *configurer.Class,
) (string, error) {
	response, err := postChat(ctx, base, document, class, false)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var completion struct {
		Usage struct {
			PromptTokens     int `json:"prompt_tokens"`
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil {
		return "", eris.Wrap(err, "demonstrator: decode the response")
	}
	return fmt.Sprintf("form=whole promptTokens=%d outputTokens=%d",
		completion.Usage.PromptTokens, completion.Usage.CompletionTokens), nil
}

func streamChat(
	ctx context.Context, base string, document *configurer.Document, class *configurer.Class,
) (string, error) {
	response, err := postChat(ctx, base, document, class, true)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	chunks := 0
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxBodyBytes)
	for lines.Scan() {
		if lines.Text() == "data: [DONE]" {
			return fmt.Sprintf("form=streamed chunks=%d", chunks), nil
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			chunks++
		}
	}
	return "", eris.New("demonstrator: the stream ended without [DONE]")
}

func postChat(
	ctx context.Context, base string, document *configurer.Document, class *configurer.Class, stream bool,
) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model":    class.Model,
		"messages": []map[string]string{{"role": "user", "content": promptFor(class)}},
		"stream":   stream,
	})
	if err != nil {
		return nil, eris.Wrap(err, "demonstrator: encode the request")
	}
	return post(ctx, base+"/v1/chat/completions", document, class, body)
}

func callService(
	ctx context.Context, base string, document *configurer.Document, class *configurer.Class,
) (string, error) {
	body := fmt.Appendf(nil, `{"class":%q}`, class.Name)
	response, err := post(ctx, fmt.Sprintf("%s/v1/services/%s/%s", base, class.Service, class.Name), document, class, body)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return "", eris.Wrap(err, "demonstrator: read the response")
	}
	return fmt.Sprintf("form=service answer=%q", strings.TrimSpace(string(content))), nil
}

// demoKeyIssuedAt is set once per process, so that a repeated call has the same key and issue time.
var demoKeyIssuedAt = time.Now().UTC().Format(time.RFC3339)

func post(
	ctx context.Context, url string, document *configurer.Document, class *configurer.Class, body []byte,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "demonstrator: create a request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(server.HeaderClass, string(class.Name))
	request.Header.Set(server.HeaderCaller, string(document.Callers[0].ID))
	if !class.Idempotent {
		request.Header.Set(server.HeaderKey, "demo-"+string(class.Name))
		request.Header.Set(server.HeaderIssuedAt, demoKeyIssuedAt)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "demonstrator: send a request")
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		reply, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		return nil, eris.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(reply))
	}
	return response, nil
}
