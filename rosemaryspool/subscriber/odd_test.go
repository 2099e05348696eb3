package subscriber

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/standin/emulator"
)

// randomText returns text that can hardly be compressed.
func randomText(length int) string {
	random := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	for range length {
		b.WriteByte(byte('a' + random.IntN(26)))
	}
	return b.String()
}

func TestOneOddEntryKeepsNoInstanceFromFollowingTheList(t *testing.T) {
	const largest = 250 << 10
	server := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":%s,"state":"ready"%s}`, address, slots, more)
	}
	for _, c := range []struct {
		name  string
		key   string
		value string
	}{
		{"deeply nested", "odd", strings.Repeat(`{"a":`, largest/5)},
		{"deeply nested field", "odd", server("10.0.0.1:80", "6", `,"x":`+strings.Repeat("[", largest/2)+strings.Repeat("]", largest/2))},
		{"as large as a record may be", "odd", randomText(largest)},
		{"number too large", "odd", server("10.0.0.1:80", "1e999", "")},
		{"slots beyond all servers", "odd", server("10.0.0.1:80", "9223372036854775807", "")},
		{"port out of range", "odd", server("10.0.0.1:70000", "6", "")},
		{"port zero", "odd", server("10.0.0.1:0", "6", "")},
		{"long version", "odd", server("10.0.0.1:80", "6", `,"version":"`+randomText(largest)+`"`)},
		{"id that is no text", "od\xffd", server("10.0.0.1:80", "6", "")},
		{"id with a line break", "odd\r\nx: y", server("10.0.0.1:80", "6", "")},
		{"start time beyond all times for a listed upstream", "a", server("10.0.0.9:80", "6", `,"born":9223372036854775807`)},
		{"deeply nested for a listed upstream", "a", strings.Repeat("[", largest)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newClusterOf(t, 3, func(s *emulator.Store) {
					putOneUpstream(s)
					if c.key != "a" {
						s.Put(platform.TopicServers, c.key, []byte(c.value))
					}
				})
				cl.waitReady(t)
				cl.store.Put(platform.TopicServers, c.key, []byte(c.value))
				cl.store.Put(platform.TopicServers, "b", serverRecord("ready"))
				requireListed := func(i *instance) {
					t.Helper()
					require.Eventually(t, func() bool {
						_, listed := i.governor.Entry("b")
						return listed
					}, drainLimit, 10*time.Millisecond)
					a, listed := i.governor.Entry("a")
					require.True(t, listed)
					require.Equal(t, "10.0.0.1:80", a.Address)
					_, listed = i.governor.Entry(identifier.UpstreamID(c.key))
					require.Equal(t, c.key == "a", listed)
				}
				for _, i := range cl.instances {
					requireListed(i)
				}
				// One that starts has to get the list from its neighbours, as the store is down.
				started := cl.restartDuringOutage(t)
				requireListed(started)
				cl.store.SetFault(emulator.Healthy)
				time.Sleep(5 * time.Second)
				cl.store.Put(platform.TopicServers, "b", serverRecord("draining"))
				for _, i := range []*instance{cl.instances[0], started, cl.instances[2]} {
					require.Eventually(t, func() bool {
						b, _ := i.governor.Entry("b")
						return b.Leaving
					}, drainLimit, 10*time.Millisecond)
				}
			})
		})
	}
}

func TestRefusedResponseIsNotLoggedAsAnOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want []string
	}{
		{"too long", &platform.TooLongError{Limit: 1000}, []string{"storeResponseRefused", "storeResponseRefused"}},
		{"no response", context.DeadlineExceeded, []string{"storeLost"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := newSimulation(1).instances[0]
			var lines bytes.Buffer
			i.log = zerolog.New(&lines)
			for range 2 {
				i.readFailed(i.topic, eris.Wrap(c.err, "read"))
			}
			var events []string
			for line := range strings.Lines(lines.String()) {
				var fields struct{ Event string }
				require.NoError(t, json.Unmarshal([]byte(line), &fields))
				events = append(events, fields.Event)
			}
			require.Equal(t, c.want, events)
		})
	}
}
