package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Since returns the seconds since the start.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Line writes one event.
func (r *Record) Line(event, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-8s %s\n", r.Since(time.Now()), event, fmt.Sprintf(format, arguments...))
}

// Say writes a line also to standard output.
func (r *Record) Say(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.Line("note", "%s", text)
	fmt.Println(text)
}
