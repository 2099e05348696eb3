package steward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/rosemaryspool/courier"
	"rosemaryspool.example/wire/messenger"
)

// A candidate that stood still acknowledges reports of an earlier process of an instance. The later process must not take its
// own counts for acknowledged.
func TestReceiptsForAnEarlierProcessAcknowledgeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, nil)
		time.Sleep(2 * time.Second)
		candidate := w.node("i0").member
		earlier := w.node("i4").steward.nextReports(candidate)
		require.NotEmpty(t, earlier)
		w.kill("i4")
		time.Sleep(800 * time.Millisecond)
		w.start("i4")
		later := w.node("i4").steward
		later.Began("account")
		// The later process reports as often as the earlier one did.
		var own []*messenger.UsageReport
		for range 8 {
			own = later.nextReports(candidate)
		}
		require.NotEmpty(t, own)
		for _, report := range earlier {
			for number := report.GetNumber() - min(8, report.GetNumber()); number <= report.GetNumber()+8; number++ {
				later.HandleUsageReceipt(courier.Received{At: time.Now(), Sender: candidate}, &messenger.UsageReceipt{Number: number})
			}
		}
		later.mu.Lock()
		acknowledged := later.exchange.recipients["i0"].acknowledged
		later.mu.Unlock()
		require.Zero(t, acknowledged)
		w.end()
		time.Sleep(20 * time.Second)
	})
}
