package feeder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/feeder"
	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const readers = 2

const maxDatagramBytes = 65507 // of UDP over IPv4

// decode decodes "up/ID" with "ready" or "draining", "ops/config" with a version and
// padding, "ops/weights" with a version, "epoch" with the revision of a configuration, and
// "node/NAME".
func decode(it platform.Item) (traffic.StoreRecord, error) {
	value := string(it.Value)
	switch {
	case strings.HasPrefix(it.Key, "up/") && value != "ready" && value != "draining":
		return nil, errors.NotValidf("registration")
	case strings.HasPrefix(it.Key, "up/"):
		return &traffic.Upstream{ID: it.Key[3:], StartedMS: 1, Service: "s", Address: "127.0.0.1:1", Draining: value == "draining"}, nil
	case it.Key == "ops/config":
		version, _, _ := strings.Cut(value, " ")
		n, err := strconv.ParseUint(version, 10, 64)
		return &traffic.Catalog{Version: n}, errors.Trace(err)
	case it.Key == "epoch":
		n, err := strconv.ParseUint(value, 10, 64)
		return &traffic.CacheEpoch{ID: 1, Config: n, NamesHash: xxhash.Sum64String(""), Revision: it.Revision}, errors.Trace(err)
	case strings.HasPrefix(it.Key, "node/"):
		return &traffic.Node{Name: it.Key[5:], Protocol: traffic.CurrentProtocol}, nil
	case it.Key == "ops/weights":
		n, err := strconv.Atoi(value)
		return &traffic.Weights{Model: "m", Version: n}, errors.Trace(err)
	}
	return nil, nil
}

type ignoringListener struct{}

func (ignoringListener) SetUpstreams([]traffic.Upstream, map[string]int) {}
func (ignoringListener) RestoreRejections([]traffic.Rejection)           {}

// fleet is a number of nodes, of which the first ones read the store for the others.
type fleet struct {
	t     *testing.T
	clk   *testlib.Clock
	store *testlib.Store
	obs   []*observer.Observer
	// feeders are those of the nodes, in the same order.
	feeders []*feeder.Feeder

	digestInterval time.Duration
	// storeCut is set while the store rejects the store readers.
	storeCut atomic.Bool

	mu       sync.Mutex
	rnd      *rand.Rand
	lossRate float64 // of datagrams
	handlers map[string]map[broadcaster.Kind]broadcaster.Handler
	sent     map[broadcaster.Kind]int
	largest  int // size of the largest datagram
}

type transport struct {
	f    *fleet
	addr string
}

func (p transport) Handle(kind broadcaster.Kind, handler broadcaster.Handler) {
	if p.f.handlers[p.addr] == nil {
		p.f.handlers[p.addr] = map[broadcaster.Kind]broadcaster.Handler{}
	}
	p.f.handlers[p.addr][kind] = handler
}

func (p transport) Send(address string, kind broadcaster.Kind, v any) error {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > maxDatagramBytes {
		return errors.Errorf("datagram of %d bytes", len(b))
	}
	p.f.mu.Lock()
	p.f.sent[kind]++
	p.f.largest = max(p.f.largest, len(b))
	lost := p.f.rnd.Float64() < p.f.lossRate
	p.f.mu.Unlock()
	if lost {
		return nil
	}
	return p.f.handlers[address][kind](p.addr, b)
}

// cutStore is a store that rejects its node while cut is set.
type cutStore struct {
	*testlib.Store
	cut *atomic.Bool
}

func (s cutStore) Range(ctx context.Context, line platform.Line, prefix, after string, stale bool) (platform.Page, error) {
	if s.cut.Load() {
		return platform.Page{}, platform.Unavailable
	}
	return s.Store.Range(ctx, line, prefix, after, stale)
}

func newFleet(t *testing.T, n, protocol int) *fleet {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	f := &fleet{
		t: t, clk: testlib.NewClock(time.Unix(100, 0)), store: testlib.NewStore(), rnd: rand.New(rand.NewPCG(1, 2)), digestInterval: 500 * time.Millisecond,
		handlers: map[string]map[broadcaster.Kind]broadcaster.Handler{}, sent: map[broadcaster.Kind]int{},
	}
	f.store.Set("ops/config", "1")
	f.store.Set("ops/weights", "1")
	for i := range 40 {
		f.store.Set(fmt.Sprintf("up/%02d", i), "ready")
	}
	var nodes []traffic.Node
	for i := range n {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), Peer: fmt.Sprint("a", i), MilliCores: n - i, Protocol: protocol})
	}
	all := roster.New(nodes)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range nodes {
		var store platform.Store = f.store
		if i < readers {
			store = cutStore{Store: f.store, cut: &f.storeCut}
		}
		obs := observer.New(f.clk, f.clk, log, store, observer.Layout{OperatorPrefix: "ops/", Decode: decode})
		obs.SetListener(ignoringListener{})
		obs.SetStoreReader(func() bool { return i < readers })
		obs.SetPace(func() roster.Pace { return all.Pace(nodes[i].Name) })
		feed := feeder.New(log, nodes[i].Name, func() *roster.Roster { return all }, transport{f: f, addr: nodes[i].Peer}, obs)
		f.feeders = append(f.feeders, feed)
		obs.SetChangeSource(feed.Request)
		f.obs = append(f.obs, obs)
		wg.Go(func() { _ = obs.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	f.until("the first read", func(obs *observer.Observer) bool { return obs.View() != nil })
	return f
}

// step advances the clock by 50 ms. Every half second, the store readers send digests.
func (f *fleet) step() {
	const stepTime = 50 * time.Millisecond
	f.clk.Step(stepTime)
	synctest.Wait() // for the observers
	if f.clk.Now().UnixNano()%int64(f.digestInterval) != 0 {
		return
	}
	for r := range readers {
		d, fresh := f.obs[r].Digest()
		for i, obs := range f.obs {
			f.mu.Lock()
			lost := f.rnd.Float64() < f.lossRate
			f.mu.Unlock()
			if fresh && !lost && i != r {
				d.Weights = []traffic.Weights{{Model: "m", Version: weights(f.obs[r])}}
				obs.ReceiveDigest(fmt.Sprint("n", r), d)
			}
		}
	}
}

// ask makes a node request the changes since a revision from a reader.
func (f *fleet) ask(reader, node int, since uint64) {
	f.t.Helper()
	if !f.feeders[node].Request(fmt.Sprint("n", reader), since) {
		f.t.Fatal("the reader can't be asked")
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.clk.Now().Add(d); f.clk.Now().Before(end); {
		f.step()
	}
}

// until runs until ok is true for all nodes, and returns how long that took.
func (f *fleet) until(what string, ok func(*observer.Observer) bool) time.Duration {
	f.t.Helper()
	from := f.clk.Now()
	for range 400 {
		all := true
		for _, obs := range f.obs {
			all = all && ok(obs)
		}
		if all {
			return f.clk.Now().Sub(from)
		}
		f.step()
	}
	f.t.Fatalf("%s didn't happen at all nodes within 20 s", what)
	return 0
}

func upstreams(obs *observer.Observer) int { return len(obs.Snapshot().Upstreams) }

func configVersion(obs *observer.Observer) uint64 { return obs.View().Matcher.Catalog().Version }

func weights(obs *observer.Observer) int {
	v := obs.View().Versions["m"]
	return v[len(v)-1].Version
}

// noticeBound is the time within which all nodes must know that an upstream leaves,
// where the users allow the least.
const noticeBound = 2 * time.Second

// maxReads is what is left for reads of 6 priced calls a node and day: registration
// takes two calls, and its renewals 1.2.
const maxReads = 2.8

// A hundred nodes that each read the store at each change make more calls than the
// requests are worth: 54 a node and day in a fleet of 295.
func TestChangesReachManyNodesWithoutReads(t *testing.T) {
	for _, tc := range []struct {
		name     string
		lossRate float64
	}{{"no loss", 0}, {"a tenth of the datagrams is lost", 0.1}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const nodes = 40
				f := newFleet(t, nodes, traffic.CurrentProtocol)
				f.run(3 * time.Second)
				f.lossRate = tc.lossRate
				present := 40
				for i := range 10 { // a change each second or so
					f.store.Set(fmt.Sprintf("up/%02d", i), "draining")
					f.run(time.Second)
					f.store.Delete(fmt.Sprintf("up/%02d", i))
					present--
					if took := f.until("the removal", func(obs *observer.Observer) bool { return upstreams(obs) == present }); took > noticeBound {
						t.Errorf("removal %d reached the last node after %v, want at most %v", i, took, noticeBound)
					}
				}
				for i := 2; i <= 4; i++ {
					f.store.Set("ops/config", strconv.Itoa(i))
					f.store.Set("ops/weights", strconv.Itoa(i))
					took := f.until("the configuration", func(obs *observer.Observer) bool { return configVersion(obs) == uint64(i) && weights(obs) == i })
					if took > noticeBound {
						t.Errorf("configuration %d reached the last node after %v, want at most %v", i, took, noticeBound)
					}
				}
				// The store readers read every 0.8 s, regardless of the number of nodes.
				elapsed := f.clk.Now().Sub(time.Unix(100, 0))
				byReaders := float64(readers) * (float64(elapsed)/float64(800*time.Millisecond) + 2)
				if perNode := (f.store.PricedCalls() - byReaders) / nodes; perNode > maxReads {
					t.Errorf("%.2f priced calls a node in %v, want at most %.1f", perNode, elapsed, maxReads)
				}
			})
		})
	}
}

// The store rejects both store readers alone while keys are revoked: the others notice
// that the digests have ended early enough to apply the configuration in time.
func TestReadersLoseTheStoreAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, traffic.CurrentProtocol)
		f.digestInterval = 100 * time.Millisecond // as in a full mesh
		f.run(3 * time.Second)
		f.storeCut.Store(true)
		f.store.Set("ops/config", "2")
		f.store.Delete("up/00")
		others := f.obs[readers:]
		var took time.Duration
		for from := f.clk.Now(); ; f.step() {
			took = f.clk.Now().Sub(from)
			if !slices.ContainsFunc(others, func(obs *observer.Observer) bool { return configVersion(obs) != 2 || upstreams(obs) != 39 }) {
				break
			}
			if took > 10*time.Second {
				t.Fatal("the changes reached not all nodes within 10 s")
			}
		}
		if took > noticeBound {
			t.Errorf("the changes reached the last node after %v, want at most %v", took, noticeBound)
		}
	})
}

// The store is down for some seconds: its readers notice that it is back, and the other
// nodes needn't ask.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, outage = 40, 8 * time.Second
		f := newFleet(t, nodes, traffic.CurrentProtocol)
		f.run(3 * time.Second)
		before := f.store.PricedCalls()
		f.store.SetError(platform.Unavailable)
		f.run(outage)
		f.store.SetError(nil)
		f.store.Delete("up/00")
		f.store.Set("ops/config", "2")
		f.until("the changes", func(obs *observer.Observer) bool { return configVersion(obs) == 2 && upstreams(obs) == 39 })
		f.run(5 * time.Second)
		// Two readers try five times a second, six stand-ins each 0.6 s, and the rest each 2 s.
		most := 2*5*outage.Seconds() + 6*2*outage.Seconds() + (nodes-8)*(outage.Seconds()/2+1) + 60
		if calls := f.store.PricedCalls() - before; calls > most {
			t.Errorf("%.0f calls in and after an outage of %v, want at most %.0f", calls, outage, most)
		}
	})
}

// A change of many keys at once, such as the registration of all nodes, doesn't fit
// into one datagram.
func TestManyChangesAtOnceArriveInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, traffic.CurrentProtocol)
		f.run(3 * time.Second)
		calls := f.store.PricedCalls()
		for i := range 800 {
			f.store.Set(fmt.Sprintf("up/%04d", i), "ready")
		}
		f.until("all registrations", func(obs *observer.Observer) bool { return upstreams(obs) == 840 })
		for i := range 800 {
			f.store.Delete(fmt.Sprintf("up/%04d", i))
		}
		f.until("all removals", func(obs *observer.Observer) bool { return upstreams(obs) == 40 })
		if f.sent[broadcaster.ChangesResponse] < 8 {
			t.Errorf("the changes arrived in %d datagrams, want several for each node", f.sent[broadcaster.ChangesResponse])
		}
		if made := f.store.PricedCalls() - calls; made > 24 {
			t.Errorf("%.0f calls, want those of the store readers only", made)
		}
	})
}

// A configuration that doesn't fit into a datagram is read from the store.
func TestLargeConfigurationIsReadFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, traffic.CurrentProtocol)
		f.run(3 * time.Second)
		padding := make([]byte, 200<<10)
		for i := range padding {
			padding[i] = byte('a' + f.rnd.IntN(26))
		}
		f.store.Set("ops/config", "2 "+string(padding))
		f.store.Set("up/50", "ready")
		took := f.until("the configuration", func(obs *observer.Observer) bool { return configVersion(obs) == 2 && upstreams(obs) == 41 })
		if took > noticeBound {
			t.Errorf("a large configuration reached the last node after %v, want at most %v", took, noticeBound)
		}
		if f.largest > 64<<10 {
			t.Errorf("a datagram has %d bytes", f.largest)
		}
	})
}

// Guards against an odd entry that doesn't fit into a datagram and thereby hides all
// other changes from the nodes that follow the store by way of its readers.
func TestLargeOddEntryHidesNoChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, rounds = 20, 8
		f := newFleet(t, nodes, traffic.CurrentProtocol)
		f.run(3 * time.Second)
		before := f.store.RangeCalls()
		value := make([]byte, 200<<10)
		for i := range rounds {
			for j := range value {
				value[j] = byte(f.rnd.Uint32())
			}
			f.store.Set("up/odd", string(value))
			f.store.Delete(fmt.Sprintf("up/%02d", i))
			if took := f.until("the removal", func(obs *observer.Observer) bool { return upstreams(obs) == 39-i }); took > noticeBound {
				t.Errorf("removal %d reached the last node after %v, want at most %v", i, took, noticeBound)
			}
			f.run(time.Second)
		}
		byReaders := readers * (int(f.clk.Now().Sub(time.Unix(100, 0))/(800*time.Millisecond)) + 2)
		if others := f.store.RangeCalls() - before - byReaders; others > 0 {
			t.Errorf("the nodes that don't read for others read the store %d times, want none", others)
		}
	})
}

// Nodes of a release without requests for changes aren't asked: the store is read.
func TestReaderOfEarlierReleaseIsNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 0)
		f.run(3 * time.Second)
		f.store.Delete("up/00")
		if took := f.until("the removal", func(obs *observer.Observer) bool { return upstreams(obs) == 39 }); took > noticeBound {
			t.Errorf("the removal reached the last node after %v, want at most %v", took, noticeBound)
		}
		if n := f.sent[broadcaster.ChangesRequest]; n > 0 {
			t.Errorf("%d requests were sent to nodes that don't know them", n)
		}
	})
}

// A store reader learns of new weights by its watch, before its next read: neither the
// revision nor the hash of its snapshot changes. A response that was cached for them would
// lack the weights.
func TestChangesAreCurrentBetweenTwoReadsOfTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, traffic.CurrentProtocol)
		f.run(time.Second)
		before, _ := f.obs[0].Digest()
		since := before.Revision
		ask := func() int {
			f.ask(0, 2, since)
			return weights(f.obs[2])
		}
		if got := ask(); got != 1 {
			t.Fatalf("weights %d, want 1", got)
		}
		f.store.Set("ops/weights", "2")
		it, _ := f.store.Item("ops/weights")
		f.obs[0].ReceiveChanges("watch", observer.Changes{Since: since, To: since, Hash: 1, Items: []platform.Item{it}})
		if after, _ := f.obs[0].Digest(); after.Revision != since || after.Hash != before.Hash {
			t.Fatal("the digest shows the weights")
		}
		if got := ask(); got != 2 {
			t.Errorf("the reader knows weights 2, its answer brought %d", got)
		}
	})
}

// A store reader that has just started can't tell which keys were removed before.
func TestChangesBeforeTheFirstReadAreAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, traffic.CurrentProtocol)
		f.run(time.Second)
		if c := f.obs[0].ChangesSince(1); !c.Gap {
			t.Errorf("the changes since before the start are %+v, want a gap", c)
		}
		before := f.obs[2].Snapshot()
		f.obs[2].ReceiveChanges("n0", observer.Changes{Since: 1 << 40, To: 1 << 41, Items: []platform.Item{{Key: "up/00", Revision: 1 << 41, Removed: true}}})
		if len(f.obs[2].Snapshot().Upstreams) != len(before.Upstreams) {
			t.Error("changes after a revision that the node hasn't reached were applied")
		}
	})
}

// A node that must repair its snapshot tries a stale read first, which may lack recent
// changes.
func TestStaleReadRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, traffic.CurrentProtocol)
		f.run(3 * time.Second)
		f.store.FreezeStaleReads()
		f.store.Delete("up/00")
		f.store.Set("up/60", "ready")
		f.until("the changes", func(obs *observer.Observer) bool { return upstreams(obs) == 40 && hasUpstream(obs, "60") })
		f.obs[2].ReceiveChanges("n0", observer.Changes{Since: 1, Gap: true})
		for range 40 {
			f.step()
			if hasUpstream(f.obs[2], "00") || !hasUpstream(f.obs[2], "60") {
				t.Fatal("a stale read reverted a change")
			}
		}
	})
}

func hasUpstream(obs *observer.Observer, id string) bool {
	for _, u := range obs.Snapshot().Upstreams {
		if u.ID == id {
			return true
		}
	}
	return false
}
