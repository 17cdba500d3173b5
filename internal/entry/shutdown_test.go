package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/entry"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

// logBuffer collects the log of a node.
type logBuffer struct {
	mu      sync.Mutex
	b       bytes.Buffer
	blocked atomic.Pointer[chan struct{}] // writes wait until it is closed
}

// block blocks all further writes until the end of the test, like a pipe that nobody
// reads.
func (l *logBuffer) block(t *testing.T) {
	c := make(chan struct{})
	l.blocked.Store(&c)
	t.Cleanup(func() { close(c) })
}

func (l *logBuffer) Write(p []byte) (int, error) {
	if c := l.blocked.Load(); c != nil {
		<-*c
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// after returns the log after the first line that contains text.
func (l *logBuffer) after(text string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, log, _ := strings.Cut(l.b.String(), text)
	return log
}

func (l *logBuffer) contains(text string) bool { return l.count(text) > 0 }

func (l *logBuffer) await(t *testing.T, text string) {
	t.Helper()
	l.awaitCount(t, text, 1)
}

func (l *logBuffer) awaitCount(t *testing.T, text string, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if l.count(text) >= n {
			return
		}
	}
	t.Fatalf("fewer than %d log lines contain %q", n, text)
}

type fixture struct {
	store     *metastore.Store
	log       *logBuffer
	callers   string
	directory string
	// newEntry returns the node, not started yet.
	newEntry func() (*entry.Entry, error)
	signal   context.CancelFunc
	ended    chan error
}

func newFixture(t *testing.T, graceSeconds float64) *fixture {
	t.Helper()
	return newFixtureWith(t, metastore.New(systemclock.New()), graceSeconds, 512)
}

func newFixtureWithStore(t *testing.T, store *metastore.Store, graceSeconds float64) *fixture {
	t.Helper()
	return newFixtureWith(t, store, graceSeconds, 512)
}

func newFixtureWithMemory(t *testing.T, graceSeconds, memoryMB float64) *fixture {
	t.Helper()
	return newFixtureWith(t, metastore.New(systemclock.New()), graceSeconds, memoryMB)
}

func newFixtureWith(t *testing.T, store *metastore.Store, graceSeconds, memoryMB float64) *fixture {
	t.Helper()
	b := &fixture{
		store: store, log: &logBuffer{}, callers: testlib.NewAddress(t), directory: testlib.NewAddress(t),
	}
	server := httptest.NewServer(b.store.Handler("n"))
	t.Cleanup(server.Close)
	s := config.EntrySettings{
		Name: "n", DataCentre: "a", CallerListen: b.callers, ReadyListen: testlib.NewAddress(t), DirectoryListen: b.directory,
		PeerListen: testlib.NewAddress(t), Store: strings.TrimPrefix(server.URL, "http://"), MemoryMB: memoryMB, GraceSeconds: graceSeconds,
	}.WithDefaults()
	b.newEntry = func() (*entry.Entry, error) { return entry.New(s, b.log) }
	b.start(t)
	return b
}

// sendPartialRequest sends a part of a request that the node would serve. It keeps a node in
// graceful shutdown running until its shutdown deadline.
func (b *fixture) sendPartialRequest(t *testing.T) {
	t.Helper()
	err := operator.New(b.store).Configure(&traffic.Catalog{
		Version: 1, Limits: traffic.Limits{BodyBytes: 1000}, Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: traffic.Safe, MaxAttempts: 1, Timeout: time.Minute, LatencyObjective: time.Second,
			Public: true, Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	b.log.await(t, "event=configTaken")
	conn, err := net.Dial("tcp4", b.callers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close() // a caller that has been answered leaves
	}()
}

// stop is how a node ended.
type stop struct {
	signal  time.Time
	drained bool // it waited for its request until the shutdown deadline
}

// awaitStopInTime stops nodes until one has drained and ended within its grace period, or
// hasn't although the machine kept the process running. shutDown returns when its node has
// ended or is late.
func awaitStopInTime(t *testing.T, grace time.Duration, shutDown func(*testlib.Pauses) stop) {
	t.Helper()
	const (
		// finalPart is the time from the shutdown deadline to the end of the grace period.
		finalPart = time.Second
		// spare is the part of it between the last moment at which requests have ended and
		// that at which a node ends without the services that still run.
		spare = 350 * time.Millisecond
	)
	pauses := testlib.WatchPauses(t)
	for {
		s := shutDown(pauses)
		d, paused := time.Since(s.signal), pauses.Since(s.signal)
		switch {
		case d <= grace && s.drained:
			return
		case d-paused > grace:
			t.Errorf("node ended %v after the signal or still runs, with the process paused for %v; the platform kills it after %v", d, paused, grace)
			return
		case !s.drained && pauses.Since(s.signal.Add(grace-finalPart)) < spare:
			t.Errorf("node ended %v after the signal and didn't wait for its request until the shutdown deadline", d)
			return
		}
		t.Logf("node ended %v after the signal, drained: %t, with the process paused for %v; measuring again", d, s.drained, paused)
	}
}

// Guards against LOST: the grace period was counted from the end of the
// registration, or from 1.2 s after the signal if the store didn't respond. The
// platform counts it from the signal.
func TestGracePeriodStartsAtSignal(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 8)
	b.store.SetFaults("n", metastore.Faults{Delay: 3 * time.Second})
	signal := time.Now()
	b.signal()
	b.log.await(t, "event=draining")
	if d := time.Since(signal); d > time.Second {
		t.Errorf("shutdown began %v after the signal", d)
	}
}

// Guards against LOST: a node that began its shutdown late was killed while
// requests were in flight.
func TestShutdownEndsWithinGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 6 * time.Second
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			awaitStopInTime(t, grace, func(*testlib.Pauses) stop {
				b := newFixture(t, grace.Seconds())
				b.log.await(t, "event=officeTaken")
				b.sendPartialRequest(t)
				b.store.SetFaults("n", metastore.Faults{Delay: delay}) // delay of each call to the store
				signal := time.Now()
				b.signal()
				if err := <-b.ended; err != nil {
					t.Error(err)
				}
				return stop{signal: signal, drained: b.log.contains("cutOff=1 event=drained")}
			})
		})
	}
}

// Guards against a kill at the end of the grace period: the leader waited 1.2 s for the
// store to clear its leader record, when only 0.5 s were left.
func TestLeaderEndsWithinGracePeriodIfStoreTurnsSilent(t *testing.T) {
	t.Parallel()
	const grace = 6 * time.Second
	awaitStopInTime(t, grace, func(*testlib.Pauses) stop {
		b := newFixture(t, grace.Seconds())
		b.log.await(t, "event=officeTaken")
		b.sendPartialRequest(t)
		signal := time.Now()
		b.signal()
		time.Sleep(grace * 5 / 6) // the lease is renewed until shortly before the release
		b.store.SetFaults("n", metastore.Faults{Delay: 3 * time.Second})
		if err := <-b.ended; err != nil {
			t.Error(err)
		}
		return stop{signal: signal, drained: b.log.contains("cutOff=1 event=drained")}
	})
}

// Guards against a kill at the end of the grace period: the process waited for its
// last log lines to be written, without a limit.
func TestNodeWithBlockedLogEndsWithinGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 6 * time.Second
	awaitStopInTime(t, grace, func(pauses *testlib.Pauses) stop {
		b := newFixture(t, grace.Seconds())
		b.log.block(t)
		signal := time.Now()
		b.signal()
		for time.Since(signal)-pauses.Since(signal) <= grace {
			select {
			case err := <-b.ended:
				if err != nil {
					t.Error(err) // the process would print it, which may block too
				}
				return stop{signal: signal, drained: true} // no line tells
			case <-time.After(time.Millisecond):
			}
		}
		return stop{signal: signal}
	})
}

// Guards against LOST: with an unresponsive store, a node started a request
// that arrived 3.35 s after the signal, and was killed before it ended.
func TestShutdownWithoutStoreStartsNoLateRequest(t *testing.T) {
	t.Parallel()
	for _, kind := range []traffic.Kind{traffic.Unsafe, traffic.Safe} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			testLateRequestWithoutStore(t, kind)
		})
	}
}

func testLateRequestWithoutStore(t *testing.T, kind traffic.Kind) {
	const (
		grace     = 8 * time.Second
		limit     = 15 * time.Second
		sentAfter = 3350 * time.Millisecond
	)
	b := newFixture(t, grace.Seconds())
	release := make(chan struct{})
	defer close(release)
	// The response to the first request tells the node how long requests take.
	engine := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		if r.URL.Path != "/r/first" {
			<-release
			return false
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: first\r\n%s: s\r\nContent-Length: 0\r\n\r\n", translate.HeaderRequestID, translate.HeaderStamp)
		return err == nil
	})
	ops := operator.New(b.store)
	err := ops.Configure(&traffic.Catalog{
		Version: 1, Limits: traffic.Limits{BodyBytes: 1000}, Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: kind, MaxAttempts: 1, Timeout: limit, LatencyObjective: time.Second,
			Public: true, Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	err = ops.Register(&traffic.Upstream{ID: "u", StartedMS: 1, Service: "s", Address: engine.Addr, DataCentre: "a", Slots: 4}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.log.await(t, "event=upstreamSeen")
	time.Sleep(time.Second) // the node reads the configuration
	b.store.SetFaults("n", metastore.Faults{Delay: 3 * time.Second})
	send := func(id string) (*client.Client, error) {
		c, err := client.Dial(b.callers, time.Second)
		if err != nil {
			return nil, err
		}
		t.Cleanup(c.Close)
		return c, c.Send(&client.Request{ID: id, Method: http.MethodPost, Host: "h", Target: "/r/" + id, Timeout: limit})
	}
	c, err := send("first")
	if err != nil {
		t.Fatal(err)
	}
	if a, err := c.Receive(time.Now().Add(limit)); err != nil || a.Status != http.StatusOK {
		t.Fatalf("status %d before the signal, %v", a.Status, err)
	}
	signal := time.Now()
	b.signal()
	time.Sleep(sentAfter)
	if c, err = send("late"); c == nil {
		return // the node no longer listens, so no request is lost
	}
	if err != nil {
		t.Log(err) // the connection was closed during the send, so no request is lost
	}
	a, err := c.Receive(signal.Add(grace))
	if len(engine.Received()) > 1 {
		t.Errorf("request sent %v after the signal ran; by the time the platform kills the node, its caller received status %d, %v", sentAfter, a.Status, err)
	}
}

// Guards against orders that no node sends: a node in graceful shutdown became the
// leader, but had to wait longer before its first order than it had left.
func TestStoppingNodeDoesNotCampaign(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	awaitStopInTime(t, grace, func(*testlib.Pauses) stop {
		b := newFixture(t, grace.Seconds())
		b.log.await(t, "event=officeTaken")
		b.sendPartialRequest(t)
		signal := time.Now()
		b.signal()
		b.log.await(t, "event=draining")
		b.store.ExpireLeases()
		if err := <-b.ended; err != nil {
			t.Error(err)
		}
		if n := b.log.count("event=officeTaken"); n != 1 {
			t.Errorf("node became the leader %d times, want once: it campaigned during its shutdown\n%s", n, b.log.after("event=officeTaken"))
		}
		return stop{signal: signal, drained: b.log.contains("cutOff=1 event=drained")}
	})
}

// Guards against LOST: a node with a short grace period abandoned its requests before the
// last sixth of it.
func TestShutdownWithShortGracePeriodWaitsForRequests(t *testing.T) {
	t.Parallel()
	const grace = 1200 * time.Millisecond
	b := newFixture(t, grace.Seconds())
	b.sendPartialRequest(t)
	signal := time.Now()
	b.signal()
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	if d := time.Since(signal); d < grace*5/6 {
		t.Errorf("node ended %v after the signal, while a request was in flight; the grace period is %v", d, grace)
	}
}
