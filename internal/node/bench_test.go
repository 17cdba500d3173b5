package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/node"
	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// slowStore delays each call and limits the rate of writes, as the platform does.
type slowStore struct {
	http.Handler
	delay         time.Duration
	mu            sync.Mutex
	nextWrite     time.Time
	writeInterval time.Duration
	writes        int
}

func (s *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wait := s.delay
	if r.Method == http.MethodPut {
		s.mu.Lock()
		now := time.Now()
		s.nextWrite = s.nextWrite.Add(s.writeInterval)
		if s.nextWrite.Before(now) {
			s.nextWrite = now
		}
		wait += s.nextWrite.Sub(now)
		s.writes++
		s.mu.Unlock()
	}
	time.Sleep(wait)
	s.Handler.ServeHTTP(w, r)
}

// startInProcess runs one node in the test process with store as its platform and
// upstream as the handler of all upstreams. It returns the node's address.
func startInProcess(b *testing.B, store, upstream http.Handler) string {
	b.Helper()
	platform, upstreamServer := httptest.NewServer(store), httptest.NewServer(upstream)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := config.Settings{
		Name: "bench", DataCentre: "dc", Listen: testlib.NewAddress(b), PeerListen: "127.0.0.1:0", PeerSecret: "the secret of the bench",
		Platform: platform.URL, Limits: config.Limits{EntrySeconds: 0.01},
	}.WithDefaults()
	var clk clock.Clock = systemclock.New()
	n, err := node.New(s, clk, log)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		upstreamServer.CloseClientConnections()
		_ = g.Wait()
		platform.CloseClientConnections()
	})
	d := declare.New().WithDataCentre("dc", "r").WithModel("assistant", "v1").WithVM(declare.VM("vm", "dc")).
		WithPool(declare.Pool("p", "assistant", "v1", config.Interactive)).
		WithService("orders", declare.Once("/commit", config.Interactive)).
		WithUpstream(declare.Engine("e", "vm", upstreamServer.URL, "p", 4096, true), declare.BackEnd("o", "vm", upstreamServer.URL, "orders", 4096)).
		WithWorkspace(declare.Workspace("bench", 1, declare.HashKey(testlib.Key)))
	var text bytes.Buffer
	if err := d.Print(&text); err != nil {
		b.Fatal(err)
	}
	for range 100 {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.Listen+"/v1/declaration", bytes.NewReader(text.Bytes()))
		if resp, err := http.DefaultClient.Do(req); err == nil && resp.StatusCode == http.StatusOK {
			return s.Listen
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Fatal("the node did not accept the declaration")
	return ""
}

// serveStub serves all upstreams: load reports, order commits and short streamed
// completions without any delay.
func serveStub(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(wire.Load{Incarnation: "a", Model: "assistant", Version: "v1"})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/commit" {
		_, _ = io.WriteString(w, `{"done":true}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.HeaderIncarnation, "a")
	rc := http.NewResponseController(w)
	for i := range 4 {
		fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n", i)
		_ = rc.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// relay returns a minimal proxy to target, the baseline for the router's overhead.
func relay(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, bytes.NewReader(body))
		req.Header = r.Header
		resp, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		rc := http.NewResponseController(w)
		buf := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buf)
			if n > 0 {
				_, _ = w.Write(buf[:n])
				_ = rc.Flush()
			}
			if err != nil {
				return
			}
		}
	})
}

// latencies holds measured times. percentileMicros requires them to be sorted.
type latencies []time.Duration

func (l latencies) percentileMicros(p float64) float64 {
	return float64(l[min(len(l)-1, int(p*float64(len(l))))]) / float64(time.Microsecond)
}

// measureLatencies sends completion requests from concurrent callers and returns
// their latencies. The first 20 requests of each caller are a warm-up.
func measureLatencies(b *testing.B, addr string, callers, requests int, body []byte) latencies {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var (
		mu  sync.Mutex
		all latencies
		g   errgroup.Group
	)
	for range callers {
		g.Go(func() error {
			c := &testlib.Caller{Addr: addr, Key: testlib.Key, HTTP: client}
			var measured latencies
			for i := range requests/callers + 20 {
				start := time.Now()
				resp, err := c.Post(context.Background(), "/v1/chat/completions", body, nil)
				if err != nil {
					return err
				}
				data, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || !bytes.Contains(data, []byte("[DONE]")) {
					return fmt.Errorf("status %d: %s %w", resp.StatusCode, data, err)
				}
				if i >= 20 {
					measured = append(measured, time.Since(start))
				}
			}
			mu.Lock()
			all = append(all, measured...)
			mu.Unlock()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	return all
}

// BenchmarkAddedLatency measures the latency that the router adds to a streamed
// request with a prompt of 64 KB, relative to what a minimal proxy adds in the same
// run.
func BenchmarkAddedLatency(b *testing.B) {
	chat := testlib.NewChat(strings.Repeat("House rules of the workshop. ", 64<<10/29), "question", 4)
	body, _ := json.Marshal(chat)
	engine := http.HandlerFunc(serveStub)
	addr := startInProcess(b, kvstore.New(systemclock.New()), engine)
	direct := httptest.NewServer(engine)
	plain := httptest.NewServer(relay(direct.URL))
	hostPort := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				const (
					rounds   = 10 // alternating, so that noise of the machine affects all three targets alike
					requests = 1280
				)
				var base, relayed, routed latencies
				for range rounds {
					base = append(base, measureLatencies(b, hostPort(direct), callers, requests, body)...)
					relayed = append(relayed, measureLatencies(b, hostPort(plain), callers, requests, body)...)
					routed = append(routed, measureLatencies(b, addr, callers, requests, body)...)
				}
				for _, l := range []latencies{base, relayed, routed} {
					sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
				}
				for _, p := range []float64{0.5, 0.99} {
					name := fmt.Sprintf("p%g", p*100)
					b.ReportMetric(relayed.percentileMicros(p)-base.percentileMicros(p), name+"-relay-us")
					b.ReportMetric(routed.percentileMicros(p)-base.percentileMicros(p), name+"-router-us")
					b.ReportMetric((routed.percentileMicros(p)-base.percentileMicros(p))/(relayed.percentileMicros(p)-base.percentileMicros(p)), name+"-ratio")
				}
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkStreamMemory measures the memory of an open stream on a node: the growth
// of the test process with 1000 streams through the node, minus the growth with
// 1000 streams directly to the engine, which is the share of the caller and the
// engine.
func BenchmarkStreamMemory(b *testing.B) {
	release := make(chan struct{})
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			serveStub(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	addr := startInProcess(b, kvstore.New(systemclock.New()), engine)
	direct := httptest.NewServer(engine)
	for range b.N {
		baseline := streamMemoryKB(b, strings.TrimPrefix(direct.URL, "http://"))
		routed := streamMemoryKB(b, addr)
		b.ReportMetric(routed-baseline, "KB/stream")
		b.ReportMetric(baseline, "caller-and-engine-KB/stream")
	}
	close(release)
}

// streamMemoryKB opens 1000 streams and returns the memory growth per stream in KB.
func streamMemoryKB(b *testing.B, addr string) float64 {
	const streams = 1000
	body, _ := json.Marshal(testlib.NewChat("short", "question", 1000))
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := testlib.NewCaller(addr)
	c.HTTP = &http.Client{Transport: &http.Transport{}}
	for range streams {
		resp, err := c.Post(ctx, "/v1/chat/completions", body, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(err, resp)
		}
		defer resp.Body.Close()
		if _, err := resp.Body.Read(make([]byte, 16)); err != nil {
			b.Fatal(err)
		}
	}
	return float64(memoryInUse()-before) / streams / 1024
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkClaims measures the claims per second that one node commits and the
// latency of a claimed call, by the number of callers. The platform allows 300
// writes per second and takes 3 ms per call.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				store := &slowStore{Handler: kvstore.New(systemclock.New()), delay: 3 * time.Millisecond, writeInterval: time.Second / 300}
				addr := startInProcess(b, store, http.HandlerFunc(serveStub))
				callsPerCaller := max(20, 3000/callers)
				var (
					mu  sync.Mutex
					all latencies
					g   errgroup.Group
				)
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
				start := time.Now()
				if callers == 1 {
					callsPerCaller = 200
				}
				for n := range callers {
					g.Go(func() error {
						c := &testlib.Caller{Addr: addr, Key: testlib.Key, HTTP: client}
						for i := range callsPerCaller {
							at := time.Now()
							h := http.Header{wire.HeaderIdempotencyKey: {fmt.Sprintf("%d-%d", n, i)}}
							r, err := c.Call(context.Background(), "/v1/services/orders/commit", []byte("x"), h)
							if err != nil || r.Status != http.StatusOK {
								return fmt.Errorf("status %d %+v %w", r.Status, r.Error, err)
							}
							mu.Lock()
							all = append(all, time.Since(at))
							mu.Unlock()
						}
						return nil
					})
				}
				if err := g.Wait(); err != nil {
					b.Fatal(err)
				}
				took := time.Since(start).Seconds()
				sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
				b.ReportMetric(float64(len(all))/took, "claims/s")
				b.ReportMetric(float64(store.writes)/took, "writes/s")
				b.ReportMetric(all.percentileMicros(0.5)/1000, "p50-ms")
				b.ReportMetric(all.percentileMicros(0.99)/1000, "p99-ms")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
