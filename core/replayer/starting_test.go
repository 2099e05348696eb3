package replayer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// encodeClaim returns the record of a claim.
func encodeClaim(t *testing.T, id string, token uint64, claim *messenger.LeaseClaim) []byte {
	t.Helper()
	payload, err := proto.Marshal(claim)
	require.NoError(t, err)
	raw, err := proto.Marshal(&messenger.Record{
		Id: id, Kind: messenger.RecordKind_RECORD_KIND_LEASE_CLAIM, Author: claim.GetHolder(), Token: token, Payload: payload,
	})
	require.NoError(t, err)
	return raw
}

func TestStateFromLeasesContinuesThem(t *testing.T) {
	acquisition := encodeClaim(t, "r1", 0, &messenger.LeaseClaim{Scope: "s", Holder: "a", DurationMs: 3000})
	lease, ok := GrantedLease(1<<32+5, acquisition)
	require.True(t, ok)
	require.Equal(t, Lease{Scope: "s", Holder: "a", Token: 1<<32 + 5, Latest: 1<<32 + 5, Duration: 3 * time.Second}, lease)
	renewal := encodeClaim(t, "r2", 1<<32+5, &messenger.LeaseClaim{
		Scope: "s", Holder: "a", DurationMs: 3000, Renewal: true, LastOffset: 1<<32 + 5,
	})
	renewed, ok := GrantedLease(1<<32+6, renewal)
	require.True(t, ok)
	require.Equal(t, identifier.Token(1<<32+5), renewed.Token)
	_, ok = GrantedLease(7, []byte("no record"))
	require.False(t, ok)

	s := NewStateAt("", 1<<32+6, []Lease{lease})
	applied, err := s.Apply(1<<32+6, renewal)
	require.NoError(t, err)
	require.Equal(t, LeaseGranted{Lease: renewed, Renewal: true}, applied.Effect)
	require.NoError(t, s.Skip(1<<32+7))
	require.NoError(t, s.Skip(1<<32+7))
	require.Equal(t, identifier.Offset(1<<32+8), s.Next())
	var gap *GapError
	require.ErrorAs(t, s.Skip(1<<32+9), &gap)
	stale := encodeClaim(t, "r3", 0, &messenger.LeaseClaim{Scope: "s", Holder: "b", DurationMs: 3000, LastOffset: 1<<32 + 5})
	applied, err = s.Apply(1<<32+8, stale)
	require.NoError(t, err)
	require.IsType(t, Skipped{}, applied.Effect)
}
