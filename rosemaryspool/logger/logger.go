// Package logger writes the daemon's log: one line of key=value pairs for each event.
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
	// bufferedLines bounds the lines that wait for the writer; beyond it lines are dropped and counted.
	bufferedLines = 8192
	// pollInterval is how often an idle writer looks for new lines.
	pollInterval = 10 * time.Millisecond
	// closeTimeout bounds the wait for lines that were logged before Close.
	closeTimeout = time.Second
	// sourceLineKey keeps the library from taking the key "caller", which names who sent a request, for a source line.
	sourceLineKey = "sourceLine"
)

// Log is a logger whose lines are formatted and written by a goroutine of its own.
type Log struct {
	zerolog.Logger
	buffer diode.Writer
	// queuedLines counts the lines that were logged, settled those that were written or dropped.
	queuedLines   atomic.Int64
	finishedLines atomic.Int64
}

// NewLog returns a log at the given level, such as "info". dropped, unless nil, is told of lines that found no room.
func NewLog(output io.Writer, level string, dropped func(lines int)) (*Log, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: parse level: %w", err)
	}
	l := &Log{}
	settled := &countingWriter{output: newFormatter(output), lines: &l.finishedLines}
	l.buffer = diode.NewWriter(settled, bufferedLines, pollInterval, func(lines int) {
		l.finishedLines.Add(int64(lines))
		if dropped != nil {
			dropped(lines)
		}
	})
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.CallerFieldName = sourceLineKey
	added := &countingWriter{output: l.buffer, lines: &l.queuedLines}
	l.Logger = zerolog.New(added).Level(parsed).With().Timestamp().Logger()
	return l, nil
}

// Close writes the lines that still wait. The ring may take its end for empty while a line is added, so the lines are
// waited for first.
func (l *Log) Close() error {
	deadline := time.Now().Add(closeTimeout)
	for l.finishedLines.Load() < l.queuedLines.Load() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	return l.buffer.Close()
}

// countingWriter counts the lines that pass to a writer.
type countingWriter struct {
	output io.Writer
	lines  *atomic.Int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(line []byte) (int, error) {
	defer c.lines.Add(1)
	return c.output.Write(line)
}

// newFormatter turns zerolog's JSON into key=value pairs.
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
