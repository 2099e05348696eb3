package authenticator

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const accounts = 44_000

func fill(x *Index) {
	for i := range accounts {
		x.Add(fmt.Sprintf("key-of-some-length-%08d", i), identifier.CallerID(fmt.Sprint("account-", i)))
	}
}

func TestFirstAccountKeepsASharedKey(t *testing.T) {
	x := NewIndex(2)
	x.Add("k", "first")
	x.Add("k", "second")
	caller, known := x.Caller("k")
	require.True(t, known)
	require.Equal(t, identifier.CallerID("first"), caller)
	_, known = x.Caller("")
	require.False(t, known)
}

// BenchmarkIndex measures an index of 44,000 accounts: its memory with the names of the accounts, and a lookup.
func BenchmarkIndex(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := NewIndex(accounts)
	fill(x)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("known", func(b *testing.B) {
		for b.Loop() {
			x.Caller("key-of-some-length-00031000")
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/accounts, "bytes/account")
	})
	b.Run("unknown", func(b *testing.B) {
		for b.Loop() {
			x.Caller("another-key-of-some-length-00031000")
		}
	})
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			fill(NewIndex(accounts))
		}
	})
}
