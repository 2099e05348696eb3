package replayer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/wire/messenger"
)

// FuzzApply applies arbitrary bytes as a record and as the payload of each kind, after a claim and an intent that they
// can refer to. No input may panic, every record must advance Next by one, and the resulting state must survive
// encoding and decoding unchanged.
func FuzzApply(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		w := &logWriter{}
		w.claim("a", 0, 0, false)
		w.intent("a", 1, "o1", "e1")
		w.records = append(w.records, data)
		for kind := range messenger.RecordKind_name {
			raw, err := proto.Marshal(&messenger.Record{
				Id: "f" + messenger.RecordKind(kind).String(), Kind: messenger.RecordKind(kind), Author: "a", Scope: "s", Token: 1, Payload: data,
			})
			require.NoError(t, err)
			w.records = append(w.records, raw)
		}
		s := w.replay(t, len(w.records))
		require.Equal(t, identifier.Offset(len(w.records)+1), s.Next())
		snapshot, err := s.Snapshot()
		require.NoError(t, err)
		restored, err := Decode("trial", compileUnchecked, snapshot.GetState(), snapshot.GetChecksum())
		require.NoError(t, err)
		encoded, err := restored.Encode()
		require.NoError(t, err)
		require.Equal(t, snapshot.GetState(), encoded)
	})
}

// FuzzDecode decodes arbitrary bytes as a snapshot's state. They must be rejected or yield a state that can be encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode("trial", compileUnchecked, data, checksum(data))
		if err != nil {
			return
		}
		_, err = s.Encode()
		require.NoError(t, err)
		require.NotZero(t, s.Next())
		s.Draining()
		s.Unfinished()
	})
}
