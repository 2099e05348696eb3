// Package logger writes the daemon's log asynchronously: one line of key=value pairs for each event.
package logger

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is the size of the ring buffer; when it is full, lines are dropped and counted.
	bufferedLines = 8192
	// pollInterval is how often an idle writer checks the buffer for new lines.
	pollInterval = 10 * time.Millisecond
	// closeTimeout bounds the wait in Close for lines that were logged before it.
	closeTimeout = time.Second
	// sourceLineKey replaces zerolog's key "caller" for source lines, since "caller" is the sender of a request here.
	sourceLineKey = "sourceLine"
)

// Log is a logger whose lines are buffered, formatted and written by a separate goroutine.
type Log struct {
	zerolog.Logger
	buffer diode.Writer
	// queuedLines counts the logged lines, finishedLines those that were written or dropped.
	queuedLines   atomic.Int64
	finishedLines atomic.Int64
}

// NewLog returns a log at the given level, such as "info". onDrop, if not nil, is called with the number of lines that
// were dropped because the buffer was full.
func NewLog(output io.Writer, level string, onDrop func(lines int)) (*Log, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: parse level: %w", err)
	}
	l := &Log{}
	finished := &countingWriter{output: newFormatter(output), lines: &l.finishedLines}
	l.buffer = diode.NewWriter(finished, bufferedLines, pollInterval, func(lines int) {
		l.finishedLines.Add(int64(lines))
		if onDrop != nil {
			onDrop(lines)
		}
	})
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.CallerFieldName = sourceLineKey
	queued := &countingWriter{output: l.buffer, lines: &l.queuedLines}
	l.Logger = zerolog.New(queued).Level(parsed).With().Timestamp().Logger()
	return l, nil
}

// Close writes the buffered lines. The ring buffer may appear empty to its own close while a line is being added, so
// Close first waits until all logged lines are written or dropped.
func (l *Log) Close() error {
	deadline := time.Now().Add(closeTimeout)
	for l.finishedLines.Load() < l.queuedLines.Load() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return l.buffer.Close()
}

// countingWriter counts the lines that are written to its output.
type countingWriter struct {
	output io.Writer
	lines  *atomic.Int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(line []byte) (int, error) {
	defer c.lines.Add(1)
	return c.output.Write(line)
}

// newFormatter returns a writer that converts zerolog's JSON to key=value pairs.
func newFormatter(output io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:              output,
		NoColor:          true,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FieldsOrder:      []string{"event"},
		FormatTimestamp:  func(v any) string { return "time=" + formatValue(v) },
		FormatLevel:      func(v any) string { return "level=" + formatValue(v) },
		FormatMessage:    func(v any) string { return "message=" + formatValue(v) },
		FormatFieldName:  func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue: formatValue,
	}
}

// formatValue returns a value as text, quoted where it is empty or contains a separator.
func formatValue(value any) string {
	text := ""
	switch v := value.(type) {
	case nil:
	case []byte:
		text = string(v)
	default:
		text = fmt.Sprint(v)
	}
	// The console writer quotes field values itself before it calls this function.
	if strings.HasPrefix(text, `"`) || (text != "" && !strings.ContainsAny(text, " =\"\n")) {
		return text
	}
	return strconv.Quote(text)
}
