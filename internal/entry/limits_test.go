package entry_test

import (
	"fmt"
	"math/rand/v2"
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
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

// workRecorder counts the runs of all requests.
type workRecorder struct {
	runRecorder
	runs atomic.Int64
}

func (r *workRecorder) RecordRun(upstream.Run) { r.runs.Add(1) }

// limitedFleet is a fleet of nodes with one upstream and one workspace with a limit.
type limitedFleet struct {
	nodes []*fixture
	work  *workRecorder
}

func newLimitedFleet(t *testing.T, nodes int, l traffic.RateLimit) *limitedFleet {
	t.Helper()
	store := metastore.New(systemclock.New())
	server := httptest.NewServer(store.Handler("n"))
	t.Cleanup(server.Close)
	f := &limitedFleet{work: &workRecorder{}}
	ops := operator.New(store)
	err := ops.Configure(&traffic.Catalog{
		Version: 1, Limits: traffic.Limits{BodyBytes: 1000}, Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: traffic.Safe, MaxAttempts: 1, Timeout: limit, LatencyObjective: time.Second,
			Targets: []traffic.Target{{Service: "s", Weight: 1}},
		}},
		Workspaces: []traffic.Workspace{{Name: "w", Keys: []string{"key"}, Limit: l}},
	})
	if err != nil {
		t.Fatal(err)
	}
	engine := httptest.NewServer(upstream.New(upstream.Options{ID: "u", Slots: 400, WorkTime: time.Millisecond}, systemclock.New(), f.work, rand.New(rand.NewPCG(1, 1))))
	t.Cleanup(engine.Close)
	err = ops.Register(&traffic.Upstream{ID: "u", StartedMS: 1, Service: "s", Address: strings.TrimPrefix(engine.URL, "http://"), DataCentre: "a", Slots: 400}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range nodes {
		s := config.EntrySettings{
			Name: fmt.Sprint("n", i), DataCentre: "a", CallerListen: testlib.NewAddress(t), ReadyListen: testlib.NewAddress(t), DirectoryListen: testlib.NewAddress(t),
			PeerListen: testlib.NewAddress(t), Store: strings.TrimPrefix(server.URL, "http://"), MemoryMB: 512, GraceSeconds: 2,
		}.WithDefaults()
		b := &fixture{store: store, log: &logBuffer{}, callers: s.CallerListen}
		b.newEntry = func() (*entry.Entry, error) { return entry.New(s, b.log) }
		b.start(t)
		f.nodes = append(f.nodes, b)
	}
	t.Cleanup(func() { // all nodes stop at the same time
		for _, b := range f.nodes {
			b.signal()
		}
	})
	return f
}

// send sends requests to random nodes for a time, about perSecond of them, and returns how many
// there were of each status.
func (f *limitedFleet) send(t *testing.T, perSecond int, d time.Duration) map[int]int {
	t.Helper()
	const senders = 8
	var (
		mu       sync.Mutex
		statuses = map[int]int{}
		wg       sync.WaitGroup
		start    = time.Now()
	)
	for k := range senders {
		wg.Go(func() {
			clients := make([]*client.Client, len(f.nodes))
			defer func() {
				for _, c := range clients {
					if c != nil {
						c.Close()
					}
				}
			}()
			rnd := rand.New(rand.NewPCG(uint64(k), 1))
			for n := 0; ; n++ {
				time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second * senders / time.Duration(perSecond))))
				if time.Since(start) > d {
					return
				}
				i := rnd.IntN(len(f.nodes))
				status, err := f.exchange(clients, i, fmt.Sprint(k, "-", n))
				if err != nil {
					t.Errorf("node %d: %v", i, err)
					return
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return statuses
}

// exchange sends a request to node i and returns the status of the response.
func (f *limitedFleet) exchange(clients []*client.Client, i int, id string) (int, error) {
	if clients[i] == nil {
		c, err := client.Dial(f.nodes[i].callers, limit)
		if err != nil {
			return 0, err
		}
		clients[i] = c
	}
	err := clients[i].Send(&client.Request{ID: id, Method: http.MethodPost, Host: "h", Target: "/r/x", APIKey: "key", Timeout: limit, Body: []byte(id)})
	if err != nil {
		return 0, err
	}
	r, err := clients[i].Receive(time.Now().Add(limit))
	if !r.Reusable {
		clients[i].Close()
		clients[i] = nil
	}
	return r.Status, err
}

// Guards against nodes that each admit the whole limit, or their share of it: in a full mesh, and
// in a fleet whose aggregators tell the others.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	for _, nodes := range []int{3, 18} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			l := traffic.RateLimit{Rate: 60, Burst: 60}
			f := newLimitedFleet(t, nodes, l)
			time.Sleep(3 * time.Second) // the nodes know each other, and the bucket is full
			if s := f.send(t, 30, 3*time.Second); s[http.StatusTooManyRequests]*20 > s[http.StatusOK] {
				t.Errorf("below the limit: responses by status %v", s)
			}
			f.work.runs.Store(0)
			const surge = 4 * time.Second
			s := f.send(t, 400, surge)
			allowed := l.Rate*surge.Seconds() + l.Burst
			if runs := float64(f.work.runs.Load()); runs > allowed*1.1+8 || runs < allowed/2 {
				t.Errorf("%v runs in %s, allowed are %v; responses by status %v", runs, surge, allowed, s)
			}
			if s[http.StatusTooManyRequests] == 0 || s[http.StatusOK]+s[http.StatusTooManyRequests] < 1000 {
				t.Errorf("responses by status %v", s)
			}
		})
	}
}
