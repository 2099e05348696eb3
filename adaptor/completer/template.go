package completer

import (
	"bytes"
	"unicode/utf8"
)

// textKey precedes a choice's text in an event.
var textKey = []byte(`"text":"`)

// template holds the bytes before and after the text of an event that was decoded as JSON. Most events of a response
// differ only in their text, so that the next one can usually be read by comparing these bytes, at a tenth of the cost
// of decoding it.
type template struct {
	prefix []byte
	suffix []byte
}

// update sets the template from a decoded event. It clears the template if the position of the text is ambiguous, or
// if the event carries more than its text.
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

// match returns the text of an event that differs from the template's event only in its text, and whether it does.
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

// isUnescaped reports whether text represents itself inside a JSON string, that is, without escapes.
func isUnescaped(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
