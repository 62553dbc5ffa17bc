package callerhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"agateswitch/adapter/callerhttp"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/resume"
	"agateswitch/node/chat"
	"agateswitch/port"
	"agateswitch/sse"
	"agateswitch/standin/engine"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const (
	// maxAllocsPerToken limits the allocations that the router adds to a streamed token. At the
	// target of 3,200 tokens/s per node it keeps the added garbage below 20,000 objects/s.
	maxAllocsPerToken = 6.0
	// maxAllocsPerCall limits the allocations that the router adds to a call. At the target of
	// 7 requests/s per node it keeps the added garbage at no more than 7,000 objects/s.
	maxAllocsPerCall = 1000.0
	// maxStreamBytes limits the memory of a stream. The target of 1.2 M tokens/s, with one token
	// per stream every 66 ms, means 79,200 streams: 208 per node, and 416 when a region is lost.
	// Together they must fit into the 64 MB that a node may use for control.
	maxStreamBytes = 64 << 20 / 416
)

// startTCP starts an engine and a router in front of it on loopback TCP.
func startTCP(t testing.TB, interval time.Duration) (router, direct string) {
	t.Helper()
	model := httptest.NewServer(engine.New(engine.Options{ID: "lm", TokenInterval: interval}))
	t.Cleanup(func() { model.CloseClientConnections(); model.Close() })
	direct = model.Listener.Addr().String()
	upstreams := upstreamhttp.NewWithDial(func(ctx context.Context, network, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, direct)
	})
	f := fakePorts{newSnapshot(t)}
	telemetry := port.Telemetry{Log: log.New(io.Discard)}
	entry := &callerhttp.Server{
		Config: f, Members: singleRouter{}, Log: telemetry.Log, ResumeKeys: resume.NewKeys([]string{"a-resume-key-of-at-least-32-characters"}),
		Chat: chat.New(f, upstreams, f, telemetry),
	}
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close(); upstreams.Close() })
	return server.Listener.Addr().String(), direct
}

// startStream sends a streamed request and returns its answer.
func startStream(t testing.TB, address string, id, tokens int) *http.Response {
	t.Helper()
	body := fmt.Appendf(nil, `{"model":"lm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+bearer)
	request.Header.Set("X-Request-Id", fmt.Sprint("direct-", id))
	answer, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.StatusCode)
	return answer
}

// readStream reads a stream to its end, with the allocations of one buffer.
func readStream(t testing.TB, answer *http.Response) {
	t.Helper()
	defer answer.Body.Close()
	var last []byte
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadSlice('\n')
		if err == io.EOF {
			break
		}
		must.NoError(t, err)
		if len(line) > 1 {
			last = append(last[:0], line...)
		}
	}
	must.Eq(t, "data: "+sse.Done+"\n", string(last))
}

// allocations returns the number of objects that the process allocates for one stream.
func allocations(t testing.TB, address string, tokens int) float64 {
	id := 0
	return testing.AllocsPerRun(20, func() {
		id++
		readStream(t, startStream(t, address, id, tokens))
	})
}

// The router adds at most maxAllocsPerCall allocations to a call and maxAllocsPerToken to each
// token, compared with a direct connection to the same engine in the same run.
func TestAddedAllocations(t *testing.T) {
	router, direct := startTCP(t, 200*time.Microsecond)
	const short, long = 10, 110
	addedShort := allocations(t, router, short) - allocations(t, direct, short)
	addedLong := allocations(t, router, long) - allocations(t, direct, long)
	perToken := (addedLong - addedShort) / (long - short)
	perCall := addedShort - short*perToken
	t.Logf("added: %.0f allocations a call, %.2f a token", perCall, perToken)
	must.LessEq(t, maxAllocsPerToken, perToken)
	must.LessEq(t, maxAllocsPerCall, perCall)
}

// streamMemory returns the memory that a number of waiting streams use in the process, in bytes.
func streamMemory(t *testing.T, address string, streams int) float64 {
	t.Helper()
	before := memoryInUse()
	answers := make([]*http.Response, streams)
	for i := range answers {
		answers[i] = startStream(t, address, i, 2)
	}
	held := memoryInUse() - before
	for _, answer := range answers {
		answer.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	return held
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// The router adds at most maxStreamBytes of memory to each stream, compared with direct streams.
func TestMemoryThatAStreamHolds(t *testing.T) {
	for _, streams := range []int{50, 200, 800} {
		// The interval keeps the streams open: the second token is sent after the measurement.
		router, direct := startTCP(t, time.Hour)
		directMemory := streamMemory(t, direct, streams)
		added := (streamMemory(t, router, streams) - directMemory) / float64(streams)
		t.Logf("%d streams: %.1f KiB each in the router", streams, added/1024)
		must.LessEq(t, maxStreamBytes, added)
	}
}

func benchmarkStream(b *testing.B, address string, tokens int) {
	b.ReportAllocs()
	id := 0
	for b.Loop() {
		id++
		readStream(b, startStream(b, address, id, tokens))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

// BenchmarkStreams compares streams through the router with direct ones. It has no pass criterion.
func BenchmarkStreams(b *testing.B) {
	router, direct := startTCP(b, 0)
	for _, tokens := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("direct/tokens=%d", tokens), func(b *testing.B) { benchmarkStream(b, direct, tokens) })
		b.Run(fmt.Sprintf("router/tokens=%d", tokens), func(b *testing.B) { benchmarkStream(b, router, tokens) })
	}
}
