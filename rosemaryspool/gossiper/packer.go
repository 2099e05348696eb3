package gossiper

import (
	"bytes"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/compressor"
	"rosemaryspool.example/wire/messenger"
)

const (
	// packedRatio is the ratio of compression that is tried first.
	packedRatio = 5
	// maxPackedBytes bounds the decompressed records of one datagram.
	maxPackedBytes = 1 << 20
	// packedSlack leaves room for records that compress less than those before them.
	packedSlack = 0.95
)

// packer compresses the records of snapshots: a list of upstreams takes a fifth or less of its size. It remembers the last
// snapshot of each topic, for instances that start together and ask for it one after the other. It is not safe for
// concurrent use.
type packer struct{ known map[string]packedSnapshot }

// packedSnapshot holds the packed records of a snapshot.
type packedSnapshot struct {
	era     identifier.Era
	records []Record
	chunks  []packedChunk
}

// packedChunk holds the records from the offset from on.
type packedChunk struct {
	from    uint64
	content []byte
}

func newPacker() *packer { return &packer{known: map[string]packedSnapshot{}} }

// encodeView splits a snapshot into messages that fit into a datagram, each with the packed records of a range of offsets.
// It returns nil if a record doesn't fit into a datagram; such a one is sent in fragments.
func (p *packer) encodeView(now time.Time, topic string, v View) []*messenger.StoreUpdate {
	last, found := p.known[topic]
	if !found || last.era != v.Era || !slices.EqualFunc(last.records, v.Records, sameRecord) {
		last = packedSnapshot{era: v.Era, records: v.Records, chunks: pack(v.Records)}
		p.known[topic] = last
	}
	return encodeChunks(now, topic, v, last.chunks)
}

// encodeChunks returns the messages for the packed records of a view, nil if there are none.
func encodeChunks(now time.Time, topic string, v View, chunks []packedChunk) []*messenger.StoreUpdate {
	if len(chunks) == 0 {
		return nil
	}
	ranges := make([]*messenger.TopicView, 0, len(chunks))
	for i, c := range chunks {
		t := &messenger.TopicView{RecordsFrom: c.from, RecordsTo: v.RecordsTo, Packed: c.content}
		if i == 0 {
			t.RecordsFrom = v.RecordsFrom
		}
		if i < len(chunks)-1 {
			t.RecordsTo = chunks[i+1].from
		}
		ranges = append(ranges, t)
	}
	// The first parts of a long list show that its sender makes progress.
	v.PreviousReadAt = time.Time{}
	return encodeRanges(now, topic, v, ranges)
}

func sameRecord(a, b Record) bool {
	return a.Key == b.Key && a.Offset == b.Offset && bytes.Equal(a.Value, b.Value)
}

// pack compresses records in chunks that fit into a datagram. It returns nil if one of them doesn't, or there are none.
func pack(records []Record) []packedChunk {
	var chunks []packedChunk
	size := packedRatio * maxUpdateBytes
	for len(records) > 0 {
		count, raw := 0, 0
		for _, r := range records {
			if r.IsLong() {
				return nil
			}
			length := r.size()
			if count > 0 && raw+length > size {
				break
			}
			count, raw = count+1, raw+length
		}
		content := compressRecords(records[:count])
		for len(content) > maxUpdateBytes && count > 1 {
			count = max(1, int(packedSlack*float64(count*maxUpdateBytes)/float64(len(content))))
			content = compressRecords(records[:count])
		}
		if len(content) > maxUpdateBytes {
			return nil
		}
		chunks = append(chunks, packedChunk{from: records[0].Offset, content: content})
		packed := 0
		for _, r := range records[:count] {
			packed += r.size()
		}
		size = max(maxUpdateBytes, int(packedSlack*float64(packed*maxUpdateBytes)/float64(len(content))))
		records = records[count:]
	}
	return chunks
}

func compressRecords(records []Record) []byte {
	m := &messenger.PackedRecords{Records: make([]*messenger.StoreRecord, 0, len(records))}
	for _, r := range records {
		m.Records = append(m.Records, &messenger.StoreRecord{
			Key: r.Key, Value: r.Value, Offset: r.Offset, Sequence: r.Sequence,
		})
	}
	// Errors are for invalid text, which is sent as it is.
	content, _ := proto.MarshalOptions{AllowPartial: true}.Marshal(m)
	return compressor.Compress(content)
}

// unpack replaces the packed records of a view by the records.
func unpack(t *messenger.TopicView) error {
	if len(t.GetPacked()) == 0 {
		return nil
	}
	content, err := compressor.Decompress(t.GetPacked(), maxPackedBytes)
	if err != nil {
		return err
	}
	m := &messenger.PackedRecords{}
	if err := proto.Unmarshal(content, m); err != nil {
		return eris.Wrap(err, "decode packed records")
	}
	t.Records, t.Packed = m.GetRecords(), nil
	return nil
}
