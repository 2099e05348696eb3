package demonstrator

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"rosemaryspool.example/adaptor/completer"
	"rosemaryspool.example/core/configurer"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/rosemaryspool/assembler"
	"rosemaryspool.example/standin/generator"
	"rosemaryspool.example/standin/host"
)

const (
	// benchStreams is the number of concurrent streams of the performance target.
	benchStreams = 200
	// benchSpeed is how many times faster than real engines the stand-ins are: enough for the daemon's own share of the
	// latency to be measurable.
	benchSpeed = 400
	benchBody  = `{"messages":[{"role":"user","content":"which size for chest 96 and sleeve 61?"}],"max_tokens":8,"stream":true}`
)

// bench is a running daemon with the stand-ins of its platform.
type bench struct {
	daemon   *assembler.Daemon
	platform *host.Host
	document *configurer.Document
}

func startBench(b *testing.B) *bench {
	document, err := readSample("kalipci")
	require.NoError(b, err)
	document.Callers[0].RequestsPerSecond = 0
	ctx, cancel := context.WithCancel(context.Background())
	platform, err := host.Start(ctx, host.NewSettings(document, generator.Settings{Speed: benchSpeed}))
	require.NoError(b, err)
	daemon, err := assembler.NewDaemon(daemonSettings(document, platform), zerolog.Nop())
	require.NoError(b, err)
	var background conc.WaitGroup
	background.Go(func() { _ = daemon.Run(ctx) })
	_, err = publish(ctx, platform.LogURL, document)
	require.NoError(b, err)
	require.NoError(b, awaitReady(ctx, "http://"+daemon.CallerAddress()))
	b.Cleanup(func() {
		cancel()
		background.Wait()
	})
	return &bench{daemon: daemon, platform: platform, document: document}
}

// measure runs b.N calls on benchStreams goroutines and reports throughput, latency and memory.
func measure(b *testing.B, call func() error) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mutex sync.Mutex
	work := make(chan struct{}, benchStreams)
	var streams conc.WaitGroup
	b.ResetTimer()
	for range benchStreams {
		streams.Go(func() {
			for range work {
				started := time.Now()
				err := call()
				took := time.Since(started).Microseconds()
				mutex.Lock()
				if err != nil {
					b.Error(err)
				}
				_ = histogram.RecordValue(took)
				mutex.Unlock()
			}
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	streams.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.Sys)/(1<<20), "process-MB")
}

func BenchmarkStreamThroughDaemon(b *testing.B) {
	s := startBench(b)
	transport := &http.Transport{MaxIdleConnsPerHost: benchStreams}
	url := "http://" + s.daemon.CallerAddress() + "/v1/chat/completions"
	measure(b, func() error {
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(benchBody))
		if err != nil {
			return err
		}
		request.Header.Set("X-Rosemaryspool-Class", "catalogueLookup")
		request.Header.Set("X-Rosemaryspool-Caller", string(s.document.Callers[0].ID))
		response, err := transport.RoundTrip(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err == nil && !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
			b.Errorf("status %d: %s", response.StatusCode, body)
		}
		return err
	})
}

func BenchmarkStreamFromEngine(b *testing.B) {
	s := startBench(b)
	var engines []*completer.Client
	for _, e := range s.platform.Engines {
		engines = append(engines, completer.NewClient(e.URL))
	}
	var mutex sync.Mutex
	count := 0
	measure(b, func() error {
		mutex.Lock()
		count++
		request := completer.Request{
			Attempt: identifier.AttemptID(strconv.Itoa(count)), Model: "prova-llm",
			Prompt: benchBody, MaxOutput: 8,
		}
		engine := engines[count%len(engines)]
		mutex.Unlock()
		_, err := engine.Complete(context.Background(), request, func(completer.Chunk) {})
		return err
	})
}
