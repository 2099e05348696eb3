package transmitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

const datagramBytes = 1400

func parts(count int) []Part[int] {
	all := make([]Part[int], count)
	for n := range all {
		all[n] = Part[int]{Datagram: n, Bytes: datagramBytes}
	}
	return all
}

// Instances that start together ask the one that reads the store for a list of 3,000 upstreams: 75 datagrams each when
// packed, 560 when not.
func TestTransfersKeepToTheRatesOfTheLinks(t *testing.T) {
	for _, c := range []struct {
		name      string
		receivers int
		datagrams int
		rate      float64
		within    time.Duration
	}{
		{"one receiver", 1, 75, 12_500_000, 300 * time.Millisecond},
		{"one receiver, not packed", 1, 560, 12_500_000, 2 * time.Second},
		{"99 receivers, sender with 200 Mbit/s", 99, 75, 12_500_000, 1200 * time.Millisecond},
		{"99 receivers, sender with 10 Mbit/s", 99, 75, 625_000, 18 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTransmitter[int](c.rate)
			start := time.Unix(1000, 0)
			now := start
			pending := map[Key]bool{}
			for n := range c.receivers {
				pending[Key{Receiver: identifier.InstanceID(fmt.Sprint("i", n)), Topic: "servers"}] = true
			}
			sent, received := 0, map[Key]int{}
			for len(pending) > 0 || !tr.Empty() {
				for key := range pending {
					if tr.Add(key, parts(c.datagrams)) {
						delete(pending, key)
					}
				}
				key, datagram, wait := tr.Next(now)
				if wait > 0 {
					now = now.Add(wait)
					continue
				}
				require.Equal(t, received[key], datagram, "in order")
				sent, received[key] = sent+datagramBytes, received[key]+1
				elapsed := (now.Sub(start) + burstTime).Seconds()
				require.LessOrEqual(t, float64(sent), elapsed*c.rate+datagramBytes)
				require.LessOrEqual(t, float64(received[key]*datagramBytes), elapsed*receiverBytesPerSecond+datagramBytes)
			}
			require.Len(t, received, c.receivers)
			for _, count := range received {
				require.Equal(t, c.datagrams, count)
			}
			require.LessOrEqual(t, now.Sub(start), c.within)
		})
	}
}

func TestReceiverGetsATopicOnceAtATime(t *testing.T) {
	tr := NewTransmitter[int](1e6)
	key := Key{Receiver: "a", Topic: "servers"}
	require.True(t, tr.Add(key, parts(1)))
	require.False(t, tr.Add(key, parts(1)))
	require.True(t, tr.Add(Key{Receiver: "a", Topic: "members"}, parts(1)))
	_, _, wait := tr.Next(time.Unix(1000, 0))
	require.Zero(t, wait)
	require.True(t, tr.Add(key, parts(1)), "the first one is sent")
}

func TestTransfersUnderWayAreBounded(t *testing.T) {
	for _, c := range []struct {
		rate      float64
		transfers int
	}{{50_000, 1}, {625_000, 3}, {12_500_000, 62}, {25_000_000, maxTransfers}} {
		tr := NewTransmitter[int](c.rate)
		for n := range c.transfers {
			require.Positive(t, tr.Room("servers"))
			require.True(t, tr.Add(Key{Receiver: identifier.InstanceID(fmt.Sprint("i", n)), Topic: "servers"}, parts(1)))
		}
		require.Zero(t, tr.Room("servers"))
		require.Positive(t, tr.Room("configuration"))
		require.False(t, tr.Add(Key{Receiver: "another", Topic: "servers"}, parts(1)))
	}
}
