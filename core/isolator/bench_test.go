package isolator

import (
	"testing"
	"time"
)

// BenchmarkLearnFullReport measures for how long a part of a report holds its caller, when all of the knowledge of an
// instance with 64 crashes of 512 traits each arrives.
func BenchmarkLearnFullReport(b *testing.B) {
	var full Report
	for c := range maxCrashes {
		crash := Crash{Process: process(c), At: start.Add(time.Duration(c) * time.Second)}
		for t := range maxCrashTraits {
			crash.Traits = append(crash.Traits, BrokenTrait{Trait: Trait(c*maxCrashTraits + t), SentAt: crash.At.Add(-time.Second)})
		}
		full.Crashes = append(full.Crashes, crash)
	}
	parts := full.Parts()
	now := start.Add(2 * time.Minute)
	var longest time.Duration
	for b.Loop() {
		i := NewIsolator(DefaultSettings())
		for _, part := range parts {
			began := time.Now()
			i.Learn(now, "a", part)
			longest = max(longest, time.Since(began))
		}
	}
	b.ReportMetric(float64(longest.Microseconds()), "longest-µs")
	b.ReportMetric(float64(len(parts)), "parts")
}
