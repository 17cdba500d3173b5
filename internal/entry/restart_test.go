package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

const limit = 5 * time.Second

// runRecorder counts the runs of poison requests.
type runRecorder struct {
	mu     sync.Mutex
	poison int
}

func (r *runRecorder) RecordRun(run upstream.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if strings.HasPrefix(run.ID, upstream.Poison) {
		r.poison++
	}
}

func (*runRecorder) RecordEnd(string, string, int, upstream.Outcome) {}
func (*runRecorder) RecordOrder(upstream.Order)                      {}
func (*runRecorder) RecordTurnAway(upstream.TurnAway)                {}

func (r *runRecorder) poisonRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poison
}

// startEngines starts engines, which leave the registry when they crash.
func (b *fixture) startEngines(t *testing.T, n int) *runRecorder {
	t.Helper()
	ops, rec := operator.New(b.store), &runRecorder{}
	err := ops.Configure(&traffic.Catalog{
		Version: 1, Limits: traffic.Limits{BodyBytes: 1000}, Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: traffic.Streaming, MaxAttempts: 1, Timeout: limit, LatencyObjective: time.Second,
			Public: true, Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		id := "u" + strconv.Itoa(i)
		server := httptest.NewUnstartedServer(nil)
		crash := func(string) { ops.Remove(id); _ = server.Config.Close() }
		server.Config.Handler = upstream.New(upstream.Options{
			ID: id, Slots: 4, WorkTime: 5 * time.Millisecond, Model: "m", Version: 1, Crash: crash,
		}, systemclock.New(), rec, rand.New(rand.NewPCG(1, uint64(i))))
		server.Start()
		t.Cleanup(server.Close)
		err := ops.Register(&traffic.Upstream{
			ID: id, StartedMS: 1, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 4, Models: map[string]int{"m": 1},
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
	}
	return rec
}

// prompt sends a prompt with the given shared part.
func (b *fixture) prompt(t *testing.T, id, shared string) client.Response {
	t.Helper()
	c, err := client.Dial(b.callers, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	err = c.Send(&client.Request{
		ID: id, Method: http.MethodPost, Host: "h", Target: "/r/x?events=1", Timeout: limit, Body: []byte(id),
		Model: "m", Tokens: 20, Parts: []string{shared + ":10", id + ":10"},
	})
	if err != nil {
		t.Fatal(err)
	}
	a, err := c.Receive(time.Now().Add(limit))
	if err != nil && a.Status != http.StatusOK {
		t.Fatal(err)
	}
	return a
}

// Guards against BUDGET: all nodes were restarted at once, and requests that crash engines
// reached engines again until they were found anew.
func TestRequestsThatCrashUpstreamsStayRejectedAfterRestart(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	rec := b.startEngines(t, 12)
	b.log.await(t, "event=upstreamSeen")
	for i := 0; !b.log.contains("event=poisonFound"); i++ {
		if i == 60 {
			t.Fatalf("no poison found after %d runs of poison requests", rec.poisonRuns())
		}
		if rec.poisonRuns() < 8 {
			b.prompt(t, upstream.Poison+strconv.Itoa(i), upstream.Poison)
		}
		b.prompt(t, "sound"+strconv.Itoa(i), "shared")
		time.Sleep(100 * time.Millisecond)
	}
	b.log.await(t, "event=rejectionsStored")
	b.restart(t)
	before := rec.poisonRuns()
	for end := time.Now().Add(limit); b.prompt(t, "sound", "shared").Status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the node serves nothing after its restart")
		}
	}
	a := b.prompt(t, upstream.Poison, upstream.Poison)
	if a.Status != http.StatusBadGateway || a.Stamped || rec.poisonRuns() > before {
		t.Errorf("status %d, %d more runs of poison requests; want 502 and none", a.Status, rec.poisonRuns()-before)
	}
}

// restart stops the node and starts it again.
func (b *fixture) restart(t *testing.T) {
	t.Helper()
	b.signal()
	<-b.ended
	b.log = &logBuffer{}
	b.start(t)
}

func (b *fixture) start(t *testing.T) {
	t.Helper()
	e, err := b.newEntry()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	b.signal, b.ended = cancel, ended
	go func() { ended <- e.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); b.store.SetFaults("n", metastore.Faults{}); <-ended })
	b.log.await(t, "event=registered")
}
