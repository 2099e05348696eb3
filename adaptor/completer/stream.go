package completer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/slicer"
)

const (
	// startEventBytes fits an ordinary event; the buffer grows up to maxEventBytes.
	initialEventBytes = 4 << 10
	maxEventBytes     = 1 << 20
	// drainTimeout bounds the wait for the body's end after the end mark, which lets the connection be used again.
	drainTimeout = 100 * time.Millisecond
	// unknownCached is what Result tells when the engine does not report its cache hits.
	cachedPromptUnknown identifier.Tokens = -1
)

var dataPrefix = []byte("data:")

// stream follows one attempt's answer up to its end mark.
type eventReader struct {
	attempt  identifier.AttemptID
	deliver  func(Chunk)
	result   Result
	finished bool
	// chunk is decoded into again and again, so that each event costs few allocations.
	chunk    WireChunk
	template template
}

// readStream reads events until the end mark; the stream is whole only when a finish reason came before the mark.
func readStream(body io.ReadCloser, attempt identifier.AttemptID, deliver func(Chunk)) (Result, error) {
	s := &eventReader{attempt: attempt, deliver: deliver, result: Result{CachedPrompt: cachedPromptUnknown}}
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
			return s.finish()
		}
		if err := s.handleEvent(data); err != nil {
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

func (s *eventReader) finish() (Result, error) {
	if !s.finished {
		return Result{}, eris.Wrap(ErrTruncated, "end mark without finish reason")
	}
	return s.result, nil
}

func (s *eventReader) handleEvent(data []byte) error {
	if text, ok := s.template.match(data); ok && !s.finished {
		s.deliverText(text)
		return nil
	}
	// The decoder leaves fields of a used element as they were when the event does not name them.
	clear(s.chunk.Choices)
	s.chunk = WireChunk{Choices: s.chunk.Choices[:0]}
	chunk := &s.chunk
	if err := json.Unmarshal(data, chunk); err != nil {
		return eris.Wrap(ErrTruncated, err.Error())
	}
	if chunk.ID != s.attempt {
		return eris.Wrapf(ErrMismatched, "event of attempt %q", chunk.ID)
	}
	if chunk.Error != nil {
		return eris.Wrap(ErrTruncated, chunk.Error.Message)
	}
	if s.finished {
		return eris.Wrap(ErrTruncated, "event after finish reason")
	}
	s.template.update(data, chunk)
	for _, choice := range chunk.Choices {
		s.handleChoice(choice)
	}
	if chunk.Usage != nil {
		s.handleUsage(chunk.Usage)
	}
	if report := decodeReport(chunk.Report); report != nil {
		s.result.Report = report
	}
	return nil
}

func (s *eventReader) handleChoice(choice WireChoice) {
	if choice.Text != "" {
		s.deliverText(choice.Text)
	}
	if choice.FinishReason != nil {
		s.finished = true
		s.result.FinishReason = *choice.FinishReason
	}
}

func (s *eventReader) deliverText(text string) {
	piece := Chunk{Text: text, Tokens: slicer.CountTokens(text)}
	s.result.Output += piece.Tokens
	s.deliver(piece)
}

func (s *eventReader) handleUsage(usage *WireUsage) {
	if usage.Details != nil {
		s.result.CachedPrompt = usage.Details.CachedTokens
	}
}
