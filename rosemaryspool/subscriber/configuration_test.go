package subscriber

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/pacer"
	"rosemaryspool.example/platform"
	"rosemaryspool.example/rosemaryspool/gossiper"
)

// Each change was decoded three times, and twice more with each snapshot that contained it again, while datagrams waited.
func TestConfigurationIsDecodedOnceThoughItComesAgain(t *testing.T) {
	const routes, valuesOfRoute = 1000, 6
	document := func(version int) []byte {
		var b strings.Builder
		fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"s"}],"routes":[`, version)
		for n := range routes {
			if n > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"name":"r%d","host":"h","path-prefix":"/p%d/","kind":"idempotent","timeout-ms":2000,"service":"s"}`, n, n)
		}
		b.WriteString(`]}`)
		return []byte(b.String())
	}
	var documents [][]byte
	for version := range 8 {
		documents = append(documents, document(version))
	}
	for _, c := range []struct {
		name    string
		arrives func(s *Subscriber, version int)
		limit   float64
	}{
		{"change", func(s *Subscriber, version int) {
			offset := uint64(version - 1)
			s.HandleView(platform.TopicConfiguration, gossiper.View{
				View: pacer.View{Next: offset + 1, Changed: offset + 1, ReadAt: time.Now()}, RecordsFrom: offset, RecordsTo: offset + 1,
				Records: []gossiper.Record{{Key: platform.KeyConfiguration, Value: documents[version], Offset: offset}}, Sender: "other",
			})
		}, routes * valuesOfRoute},
		{"snapshot again", func(s *Subscriber, _ int) {
			v := s.snapshot(s.topicOf(platform.TopicConfiguration))
			v.Sender = "other"
			s.HandleView(platform.TopicConfiguration, v)
		}, routes},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, 1, func(t *testing.T, n *neighbourhood) {
				s := n.instances[0].subscriber
				n.store.put(platform.TopicConfiguration, platform.KeyConfiguration, documents[2])
				time.Sleep(applyLimit)
				require.EqualValues(t, 2, s.governor.ConfigurationVersion())
				version := 2
				allocations := testing.AllocsPerRun(3, func() {
					version++
					c.arrives(s, version)
				})
				require.Less(t, allocations, c.limit)
				if c.name == "change" {
					require.EqualValues(t, version, s.governor.ConfigurationVersion())
				}
			})
		})
	}
}
