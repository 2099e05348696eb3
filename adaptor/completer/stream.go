package completer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/hasher"
	"rosemaryspool.example/core/identifier"
)

const (
	// initialEventBytes fits a typical event; the buffer grows up to maxEventBytes.
	initialEventBytes = 4 << 10
	maxEventBytes     = 1 << 20
	// drainTimeout bounds the wait for the end of the body after the end mark. Reading it allows connection reuse.
	drainTimeout = 100 * time.Millisecond
	// cachedPromptUnknown is the value of Result.CachedPrompt when the engine does not report its cache hits.
	cachedPromptUnknown identifier.Tokens = -1
)

var dataPrefix = []byte("data:")

// eventReader processes the events of one attempt's response up to the end mark.
type eventReader struct {
	attempt  identifier.AttemptID
	deliver  func(Chunk)
	result   Result
	finished bool
	// chunk is reused for each event to save allocations.
	chunk    WireChunk
	template template
}

// readStream reads events until the end mark. The stream is complete only if a finish reason precedes the end mark.
func readStream(body io.ReadCloser, attempt identifier.AttemptID, deliver func(Chunk)) (Result, error) {
	r := &eventReader{attempt: attempt, deliver: deliver, result: Result{CachedPrompt: cachedPromptUnknown}}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == EndMark {
			drain(body)
			return r.finish()
		}
		if err := r.handleEvent(data); err != nil {
			return Result{}, err
		}
	}
	if err := scanner.Err(); err != nil {
		return Result{}, eris.Wrap(ErrTruncated, err.Error())
	}
	return Result{}, eris.Wrap(ErrTruncated, "no end mark")
}

func drain(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, body)
}

func (r *eventReader) finish() (Result, error) {
	if !r.finished {
		return Result{}, eris.Wrap(ErrTruncated, "end mark without finish reason")
	}
	return r.result, nil
}

func (r *eventReader) handleEvent(data []byte) error {
	if text, ok := r.template.match(data); ok && !r.finished {
		r.deliverText(text)
		return nil
	}
	// The decoder reuses the elements of the slice and keeps the fields that the event does not set.
	clear(r.chunk.Choices)
	r.chunk = WireChunk{Choices: r.chunk.Choices[:0]}
	chunk := &r.chunk
	if err := json.Unmarshal(data, chunk); err != nil {
		return eris.Wrap(ErrTruncated, err.Error())
	}
	if chunk.ID != r.attempt {
		return eris.Wrapf(ErrMismatched, "event of attempt %q", chunk.ID)
	}
	if chunk.Error != nil {
		return eris.Wrap(ErrTruncated, chunk.Error.Message)
	}
	if r.finished {
		return eris.Wrap(ErrTruncated, "event after finish reason")
	}
	r.template.update(data, chunk)
	for _, choice := range chunk.Choices {
		r.handleChoice(choice)
	}
	if chunk.Usage != nil {
		r.handleUsage(chunk.Usage)
	}
	if report := decodeReport(chunk.Report); report != nil {
		r.result.Report = report
	}
	return nil
}

func (r *eventReader) handleChoice(choice WireChoice) {
	if choice.Text != "" {
		r.deliverText(choice.Text)
	}
	if choice.FinishReason != nil {
		r.finished = true
		r.result.FinishReason = *choice.FinishReason
	}
}

func (r *eventReader) deliverText(text string) {
	chunk := Chunk{Text: text, Tokens: hasher.CountTokens(text)}
	r.result.Output += chunk.Tokens
	r.deliver(chunk)
}

func (r *eventReader) handleUsage(usage *WireUsage) {
	if usage.Details != nil {
		r.result.CachedPrompt = usage.Details.CachedTokens
	}
}
