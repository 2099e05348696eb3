package gossiper

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/isolator"
	"rosemaryspool.example/rosemaryspool/courier"
)

func TestCrashReportsFitIntoDatagrams(t *testing.T) {
	// senderBytes is reserved for the sender's record.
	const senderBytes = 200
	now := time.UnixMilli(1_000_000)
	sent := isolator.Report{}
	for n := range 3 {
		c := isolator.Crash{
			Process: isolator.Process{
				Upstream:    identifier.UpstreamID(strings.Repeat("u", 60) + fmt.Sprint(n)),
				Incarnation: math.MaxInt64,
			},
			At: now.Add(-time.Duration(n) * time.Minute),
		}
		for k := range 200 {
			c.Traits = append(c.Traits, isolator.BrokenTrait{Trait: isolator.Trait(math.MaxUint64 - uint64(k)), SentAt: c.At})
		}
		sent.Crashes = append(sent.Crashes, c)
	}
	for n := range 50 {
		trait := isolator.Trait(math.MaxUint64 - uint64(n))
		sent.Answers = append(sent.Answers, isolator.Answer{Trait: trait, At: now.Add(-time.Hour)})
		sent.Quarantines = append(sent.Quarantines, isolator.Quarantine{
			Trait: trait, Since: now.Add(-time.Hour), Until: now.Add(time.Hour), Term: 24 * time.Hour,
		})
	}
	var received isolator.Report
	for _, part := range sent.Parts() {
		m := encodeCrashReport(now, part)
		require.LessOrEqual(t, proto.Size(m), courier.MaxDatagramBytes-senderBytes)
		r := decodeCrashReport(now, m)
		for _, c := range r.Crashes {
			last := len(received.Crashes) - 1
			if last >= 0 && received.Crashes[last].Process == c.Process {
				received.Crashes[last].Traits = append(received.Crashes[last].Traits, c.Traits...)
				continue
			}
			received.Crashes = append(received.Crashes, c)
		}
		received.Answers = append(received.Answers, r.Answers...)
		received.Quarantines = append(received.Quarantines, r.Quarantines...)
	}
	require.Equal(t, sent, received)
}
