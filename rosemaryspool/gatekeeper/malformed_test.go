package gatekeeper

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/standin/emulator"
)

func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const (
		event      = "id: 1\ndata: x\n\n"
		framed     = "Content-Length: 15\r\n"
		rejection  = emulator.HeaderNotExecuted + ": 1\r\n"
		earlyHints = "HTTP/1.1 103 Early Hints\r\n"
	)
	for _, c := range []struct {
		name string
		// before is sent before the head.
		before, status, fields string
	}{
		{"blank after a name", "", "200 OK", framed + "Name : x\r\n"},
		{"blank in a name", "", "200 OK", framed + "Bad Name: x\r\n"},
		{"blank after the length's name", "", "200 OK", "Content-Length : 7\r\n"},
		{"blank after the framing's name", "", "200 OK", "Transfer-Encoding : chunked\r\n"},
		{"blank in a name of a rejection", "", "503 Service Unavailable", framed + rejection + "Bad Name: x\r\n"},
		{"blank in a name of a failure", "", "404 Not Found", framed + "Bad Name: x\r\n"},
		{"blank in a name of an informational head", earlyHints + "Bad Name: x\r\n\r\n", "200 OK", framed},
		{"control byte in a name", "", "200 OK", framed + "Na\x01me: x\r\n"},
		{"tab in a name", "", "200 OK", framed + "Na\tme: x\r\n"},
		{"null byte in a name", "", "200 OK", framed + "\x00: x\r\n"},
		{"delete byte in a name of a rejection", "", "503 Service Unavailable", framed + rejection + "Na\x7fme: x\r\n"},
		{"no name", "", "200 OK", framed + ": x\r\n"},
		{"status 000", "", "000 Trouble", framed},
		{"status 000 without a reason", "", "000", framed},
		{"status 000 of a rejection", "", "000 Trouble", framed + rejection},
		{"status 000 behind an informational head", earlyHints + "\r\n", "000 Trouble", framed},
		{"status 001", "", "001 Trouble", framed},
		{"status 099 without framing", "", "099 Trouble", ""},
		{"status with a sign", "", "+20 Trouble", framed},
		{"negative zero as a status", "", "-00 Trouble", framed},
		{"negative status", "", "-20 Trouble", framed},
		{"status of two digits", "", "20 Trouble", framed},
		{"status of four digits", "", "2000 Trouble", framed},
		{"status of letters", "", "abc Trouble", framed},
		{"switch of protocols", "", "101 Switching Protocols", framed},
		{"switch of protocols before an answer", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "200 OK", framed},
	} {
		for _, route := range []struct {
			path   string
			status int
		}{{orders, http.StatusBadGateway}, {lookups, http.StatusOK}, {notes, http.StatusBadGateway}, {verdicts, http.StatusOK}} {
			t.Run(c.name+" "+route.path, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					store := newMemoryStore(t)
					var answered atomic.Bool
					runs := startFalseUpstreams(t, store, func(_ int, id string) string {
						before, status, fields := c.before, c.status, c.fields
						if answered.Swap(true) {
							before, status, fields = "", "200 OK", framed
						}
						return fmt.Sprintf("%sHTTP/1.1 %s%s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s\r\n%s", before, status,
							signed, emulator.HeaderAttempt, id, fields, event)
					})
					ti := startTestInstance(t, store, testSettings(store))
					ti.makeReady()
					time.Sleep(testSettings(store).RetryWindow)
					r := ti.send(http.MethodPost, route.path+"x", "b", append(promptHeaders(), emulator.HeaderDeadline, "1900")...)
					require.Equal(t, route.status, r.status)
					require.True(t, r.complete)
					if route.status == http.StatusOK {
						require.Equal(t, event, r.body)
						require.Equal(t, 2, runs("a1"))
					} else {
						require.Empty(t, r.header.Get(emulator.HeaderSignature))
						require.Equal(t, 1, runs("a1"))
					}
				})
			})
		}
	}
}
