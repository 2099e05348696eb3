package completer

import (
	"bytes"
	"unicode/utf8"
)

// textKey comes before a choice's text in an event.
var textKey = []byte(`"text":"`)

// template holds the bytes around the text of an event that was decoded as JSON. An answer's ordinary events differ in
// their text alone, so that the next one can mostly be read by comparing the bytes around it, at a tenth of the cost.
type template struct {
	prefix []byte
	suffix []byte
}

// learn keeps the bytes around the text of a decoded event. It forgets the template when the text's place is not
// certain, or when the event says more than its text.
func (t *template) update(data []byte, chunk *WireChunk) {
	t.prefix, t.suffix = t.prefix[:0], t.suffix[:0]
	if len(chunk.Choices) != 1 || chunk.Choices[0].FinishReason != nil || chunk.Usage != nil || len(chunk.Report) > 0 {
		return
	}
	start := bytes.Index(data, textKey)
	if start < 0 || bytes.LastIndex(data, textKey) != start {
		return
	}
	start += len(textKey)
	length := bytes.IndexByte(data[start:], '"')
	if length <= 0 || string(data[start:start+length]) != chunk.Choices[0].Text {
		return
	}
	t.prefix = append(t.prefix, data[:start]...)
	t.suffix = append(t.suffix, data[start+length:]...)
}

// match returns the text of an event that differs from the learned one in its text alone.
func (t *template) match(data []byte) (string, bool) {
	if len(t.prefix) == 0 || len(data) <= len(t.prefix)+len(t.suffix) {
		return "", false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return "", false
	}
	text := data[len(t.prefix) : len(data)-len(t.suffix)]
	return string(text), isUnescaped(text)
}

// plain reports whether a text stands in JSON as it is, without escapes.
func isUnescaped(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
