package gossiper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/wire/messenger"
)

// A datagram of the version before has none of the fields that came later, and one of a later version has fields and kinds
// that this one doesn't know. Both are read.
func TestDatagramsOfOtherVersionsAreRead(t *testing.T) {
	report := &messenger.WorkReport{Service: "plain", Sequence: 3, FirstPending: 2}
	own, err := proto.Marshal(&messenger.Datagram{
		Instance: "spool-2", StartedMs: 7, Body: &messenger.Datagram_WorkReport{WorkReport: report},
	})
	require.NoError(t, err)
	unknown := protowire.AppendTag(nil, 1900, protowire.BytesType)
	unknown = protowire.AppendBytes(unknown, []byte("of a later version"))
	for _, test := range []struct {
		name    string
		content []byte
		kind    any
	}{
		{"known kind with an unknown field", append(own, unknown...), &messenger.Datagram_WorkReport{}},
		{"unknown kind only", append([]byte("\x0a\x07spool-2"), unknown...), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d messenger.Datagram
			require.NoError(t, proto.Unmarshal(test.content, &d))
			require.Equal(t, "spool-2", d.GetInstance())
			if test.kind == nil {
				require.Nil(t, d.GetBody())
				return
			}
			require.IsType(t, test.kind, d.GetBody())
			decoded := decodeReport(time.Now(), d.GetWorkReport())
			require.EqualValues(t, 2, decoded.FirstPending)
			require.Empty(t, decoded.Loads)
		})
	}
}
