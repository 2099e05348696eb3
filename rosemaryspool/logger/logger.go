// Package logger writes the daemon's log: one line of key=value pairs for each event.
package logger

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ringLines bounds the lines that wait for the writer; beyond it lines are dropped and counted.
	ringLines = 8192
	// pollInterval is how often an idle writer looks for new lines; zero makes it wait for them, which wakes no idle process.
	pollInterval time.Duration = 0
	// sourceLineKey keeps the library from taking the key "caller", which names who sent a request, for a source line.
	sourceLineKey = "sourceLine"
)

// Log is a logger whose lines are formatted and written by a goroutine of its own.
type Log struct {
	zerolog.Logger
	ring diode.Writer
}

// NewLog returns a log at the given level, such as "info". Dropped lines are reported to the same output.
func NewLog(output io.Writer, level string, dropped func(lines int)) (*Log, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: parse level: %w", err)
	}
	ring := diode.NewWriter(newFormatter(output), ringLines, pollInterval, dropped)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.CallerFieldName = sourceLineKey
	return &Log{Logger: zerolog.New(ring).Level(parsed).With().Timestamp().Logger(), ring: ring}, nil
}

// Close writes the lines that still wait.
func (l *Log) Close() error { return l.ring.Close() }

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
