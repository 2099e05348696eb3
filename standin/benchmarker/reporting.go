package benchmarker

import (
	"bytes"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rosemaryspool.example/wire/messenger"
)

// newReport returns the load report of a busy engine.
func newReport(i int) *messenger.EngineReport {
	return &messenger.EngineReport{
		Engine: string(upstreamID(i)), Role: "mixed", Model: "prova-llm", Version: "2026.11",
		Adapters: []string{"alteration-notes"}, Token: 184_467, LastOrderId: recordAuthor + "/o42",
		QueuedPrefillTokens: 18_432, Running: 41, Waiting: 3, MaxBatch: 64,
		PendingOutputTokens: 7310, PrefillTokensPerSecond: 20_123.5, DecodeStepMs: 21.37, Sequence: 123_456,
		CacheUsedTokens: 812_000, CacheCapacityTokens: 1_048_576,
	}
}

// exchangeBytes returns the bytes of one HTTP request and response on an open connection, without TCP and IP headers.
func (b *Benchmarker) exchangeBytes(path string, reply proto.Message) (out, in float64) {
	var request, response bytes.Buffer
	r, err := http.NewRequest(http.MethodGet, "http://10.20.30.40:8080"+path, nil)
	b.fail("build request", err)
	if err != nil {
		return 0, 0
	}
	b.fail("write request", r.Write(&request))
	body, err := protojson.Marshal(reply)
	b.fail("encode response", err)
	httpResponse := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {"Thu, 03 Dec 2026 21:00:00 GMT"}},
		Body:   io.NopCloser(bytes.NewReader(body)),
	}
	b.fail("write response", httpResponse.Write(&response))
	return float64(request.Len()), float64(response.Len())
}

// measureReports measures the wire size of reports, listings and log reads and the processor time to decode them.
func (b *Benchmarker) measureReports() {
	report := newReport(1)
	text, err := protojson.Marshal(report)
	b.fail("encode report", err)
	binary, err := proto.Marshal(report)
	b.fail("encode report", err)
	b.writeFigure("reportJSONBytes", "B", float64(len(text)))
	b.writeFigure("reportBinaryBytes", "B", float64(len(binary)))
	out, in := b.exchangeBytes("/v1/report", report)
	b.writeFigure("reportExchangeOut", "B", out)
	b.writeFigure("reportExchangeIn", "B", in)
	out, in = b.exchangeBytes("/v1/cacheEvents?from=123456", &messenger.CacheEvents{NextSequence: 123_456})
	b.writeFigure("emptyCacheExchangeOut", "B", out)
	b.writeFigure("emptyCacheExchangeIn", "B", in)
	b.measureReportDecoding(text, binary)
	b.measureListing()
	b.measureLogRead()
}

// measureReportDecoding measures the processor time of decoding over the rate of reports.
func (b *Benchmarker) measureReportDecoding(text, binary []byte) {
	inJSON := &series{
		name: "decodeReportsJSONCPU", unit: "nsPerSecond", per: "reportPerSecond",
		today: 2 * todayUpstreams, target: 2 * targetUpstreams,
	}
	inBinary := &series{
		name: "decodeReportsBinaryCPU", unit: "nsPerSecond", per: "reportPerSecond",
		today: 2 * todayUpstreams, target: 2 * targetUpstreams,
	}
	for _, rate := range []int{500, 1000, 2000, 5000} {
		inJSON.add(float64(rate), measureCost(3, func(int) {
			for range rate {
				b.fail("decode report", protojson.Unmarshal(text, &messenger.EngineReport{}))
			}
		}).nanoseconds)
		inBinary.add(float64(rate), measureCost(3, func(int) {
			for range rate {
				b.fail("decode report", proto.Unmarshal(binary, &messenger.EngineReport{}))
			}
		}).nanoseconds)
	}
	b.writeSeries(inJSON, inBinary)
}

// measureListing measures the instance list over the number of its members. Every instance reads the complete list once
// a second.
func (b *Benchmarker) measureListing() {
	size := &series{
		name: "listingBytes", unit: "B", per: "member",
		today: todayUpstreams + todayInstances, target: targetServers + targetInstances,
	}
	decode := &series{
		name: "decodeListingCPU", unit: "ns", per: "member",
		today: todayUpstreams + todayInstances, target: targetServers + targetInstances,
	}
	for _, n := range []int{16, 128, 512, 1024, targetServers + targetInstances} {
		listing := &messenger.InstanceListing{}
		for i := range n {
			listing.Members = append(listing.Members, &messenger.ListedUpstream{
				Id: string(upstreamID(i)), Kind: "engine", Address: "10.20.30.40:8080", DataCentre: "marmara-a",
			})
		}
		_, in := b.exchangeBytes("/v1/instances", listing)
		size.add(float64(n), in)
		body, err := protojson.Marshal(listing)
		b.fail("encode listing", err)
		decode.add(float64(n), measureCost(max(5, 5000/n), func(int) {
			b.fail("decode listing", protojson.Unmarshal(body, &messenger.InstanceListing{}))
		}).nanoseconds)
	}
	b.writeSeries(size, decode)
}

// measureLogRead measures the bytes of a log read over the size of the record that it delivers.
func (b *Benchmarker) measureLogRead() {
	read := &series{name: "logReadBytesIn", unit: "B", per: "recordByte", today: 150, target: 300}
	for _, n := range []int{50, 100, 200, 400, 1000} {
		reply := &messenger.ReadReply{FirstOffset: 100_000, EndOffset: 123_457}
		reply.Entries = []*messenger.LogEntry{{Offset: 123_456, Record: make([]byte, n)}}
		out, in := b.exchangeBytes("/v1/streams/trial.control/records?from=123456&limit=1024&waitMs=2000", reply)
		read.add(float64(n), in)
		if n == 100 {
			b.writeFigure("logReadBytesOut", "B", out)
		}
	}
	b.writeSeries(read)
	relayed := &messenger.RelayReply{
		FirstOffset: 100_000, NextOffset: 123_457,
		Entries: []*messenger.LogEntry{{Offset: 123_456, Record: make([]byte, 140)}},
	}
	b.writeFigure("relayReplyOverhead", "B", float64(proto.Size(relayed)-140))
}
