package gatekeeper

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/emulator"
)

const (
	// slowCallers hold connections on which they read or send nothing more. Each could make the instance hold a quarter of
	// a megabyte.
	slowCallers    = 120
	slowBytes      = 1 << 20
	instanceMemory = 32 * identifier.BytesPerMB
	// maxHeapGrowth is what the instance may hold for them, and as much again that the garbage collector has not collected.
	maxHeapGrowth = 2 * int64(heldShare*float64(instanceMemory))
)

// heapInUse returns the size of the live heap.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// dialSlowly opens a connection with a small receive buffer and sends a head and a part of a body over it.
func (ti *testInstance) dialSlowly(head string, body []byte) {
	ti.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(ti.url, "http://"))
	require.NoError(ti.t, err)
	ti.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(ti.t, conn.(*net.TCPConn).SetReadBuffer(2<<10))
	_, err = io.WriteString(conn, head)
	require.NoError(ti.t, err)
	// The instance may refuse the request before it has read all of the body.
	_, _ = conn.Write(body)
}

func TestSlowCallersHoldABoundedAmountOfMemory(t *testing.T) {
	// All connections share the bytes, so that they don't count as the instance's.
	content := bytes.Repeat([]byte("x"), slowBytes)
	for _, test := range []struct {
		name, request string
		body          []byte
	}{
		{"reading", "GET " + lookups + "x HTTP/1.1\r\nHost: h.example\r\n", nil},
		{
			"sending", "POST " + orders + "x HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + fmt.Sprint(slowBytes+1) + "\r\n",
			content,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore(t)
			settings := testSettings(store)
			settings.Memory = instanceMemory
			startRawUpstream(t, store, "plain", "", "200 OK"+signed+"\r\nContent-Length: "+fmt.Sprint(slowBytes),
				func(conn net.Conn) error {
					_, err := conn.Write(content)
					return err
				})
			ti := startTestInstance(t, store, settings)
			ti.makeReady()
			before := heapInUse()
			for i := range slowCallers {
				ti.dialSlowly(fmt.Sprintf("%s%s: a%d\r\n\r\n", test.request, emulator.HeaderAttempt, i), test.body)
			}
			for range 20 {
				require.LessOrEqual(t, ti.gatekeeper.memory.Used(), heldLimit(instanceMemory))
				require.Less(t, heapInUse()-before, maxHeapGrowth)
				time.Sleep(20 * time.Millisecond)
			}
			// The others' requests are served, or refused as not run.
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable},
				ti.send(http.MethodGet, lookups+"x", "").status)
		})
	}
}
