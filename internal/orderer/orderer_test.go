package orderer_test

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/orderer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roller"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const gap = 3 * time.Second

// receivedOrder is an order that an engine received.
type receivedOrder struct {
	leader string
	token  uint64
	at     time.Time
}

// engines carries out every order at once and records its sender and time.
type engines struct {
	clk      *testlib.Clock
	mu       sync.Mutex
	received []receivedOrder
	done     map[string]int
	silent   bool // no order gets a response
	held     chan struct{}
}

// hold keeps the responses to orders back until the returned function is called.
func (e *engines) hold() (answer func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = make(chan struct{})
	return sync.OnceFunc(func() { close(e.held) })
}

func (e *engines) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

func (e *engines) Order(ctx context.Context, order orderer.FencedOrder) (roller.Result, error) {
	e.mu.Lock()
	held := e.held
	e.mu.Unlock()
	res := e.carryOut(order)
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return roller.Unanswered, ctx.Err()
		}
	}
	return res, nil
}

func (e *engines) carryOut(order orderer.FencedOrder) roller.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, receivedOrder{leader: order.Leader, token: order.FencingToken, at: e.clk.Now()})
	e.done[order.Incarnation] = order.Version
	if e.silent {
		return roller.Unanswered
	}
	return roller.Accepted
}

func (e *engines) Report(_ context.Context, u traffic.Upstream) (roller.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return roller.Report{Models: map[string]int{"m": max(1, e.done[u.Incarnation()])}}, nil
}

func (e *engines) list() []receivedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]receivedOrder(nil), e.received...)
}

func (e *engines) versions() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.done)
}

func (*engines) Suspend(string, time.Time)                       {}
func (*engines) RecordUpgrade(string, string, int)               {}
func (*engines) Status(string) placer.UpstreamStatus             { return placer.UpstreamStatus{Reachable: true} }
func (*engines) SetUpstreams([]traffic.Upstream, map[string]int) {}
func (*engines) RestoreRejections([]traffic.Rejection)           {}

func decode(it platform.Item) (traffic.StoreRecord, error) {
	switch {
	case it.Key == "config":
		return &traffic.Catalog{Version: 1}, nil
	case it.Key == "weights":
		v, err := strconv.Atoi(string(it.Value))
		return &traffic.Weights{Model: "m", Version: v}, err
	case strings.HasPrefix(it.Key, "up/"):
		return &traffic.Upstream{ID: it.Key, Service: "s", Models: map[string]int{"m": 1}}, nil
	case strings.HasPrefix(it.Key, "node/"):
		protocol, started, _ := strings.Cut(string(it.Value), " ")
		v, err := strconv.Atoi(protocol)
		seconds, _ := strconv.ParseInt(started, 10, 64) // 0 if it isn't given
		return &traffic.Node{Name: strings.TrimPrefix(it.Key, "node/"), Protocol: v, StartedAt: time.Unix(seconds, 0)}, err
	case it.Key == orderer.LeaderKey:
		return &traffic.Leader{Node: string(it.Value), Revision: it.Revision}, nil
	case strings.HasPrefix(it.Key, orderer.AnnouncementsPrefix):
		return orderer.DecodeAnnouncements(it)
	}
	return nil, nil
}

// fleet runs nodes over one store and one clock.
type fleet struct {
	t     *testing.T
	clk   *testlib.Clock
	store *testlib.Store
	ups   *engines
	gap   time.Duration
	logs  map[string]*logtest.Hook // of the last start of each node
}

func newFleet(t *testing.T) *fleet {
	clk := testlib.NewClock(time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC))
	f := &fleet{t: t, clk: clk, store: testlib.NewStore(), ups: &engines{clk: clk, done: map[string]int{}}, gap: gap, logs: map[string]*logtest.Hook{}}
	f.store.Set("config", "1")
	f.store.Set("weights", "2")
	for i := range 12 {
		f.store.Set("up/"+strconv.Itoa(i), "")
	}
	return f
}

// start runs a node. The returned function stops it and waits for its end.
func (f *fleet) start(name string) (*observer.Observer, func()) {
	return f.startWith(name, f.store)
}

func (f *fleet) startWith(name string, st platform.Store) (*observer.Observer, func()) {
	obs, _, stop := f.startOn(name+"'s machine", name, st)
	return obs, stop
}

// startOn runs a node on a machine.
func (f *fleet) startOn(machine, name string, st platform.Store) (*observer.Observer, *orderer.Orderer, func()) {
	log, hook := logtest.NewNullLogger()
	f.logs[name] = hook
	obs := observer.New(f.clk, f.clk, log, st, observer.Layout{OperatorPrefix: "none/", Decode: decode})
	obs.SetListener(f.ups)
	o := orderer.New(orderer.Settings{Node: name, Machine: machine, HandoverGap: f.gap}, f.clk, f.clk, log, st, obs, f.ups, f.ups)
	ctx, cancel := context.WithCancel(f.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = obs.Run(ctx) })
	wg.Go(func() { _ = o.Run(ctx) })
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); wg.Wait() }) }
	f.t.Cleanup(stop)
	return obs, o, stop
}

// until advances the clock in steps of 20 ms until ok returns true, for at most
// one minute of simulated time.
func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		f.clk.Step(20 * time.Millisecond)
		time.Sleep(300 * time.Microsecond) // the nodes run meanwhile; in a bubble until all of them wait
	}
	f.t.Fatalf("%s didn't happen within a minute", what)
}

// Guards against orders of two leaders within the handover gap, which engines
// that check no fencing token would accept, and against tokens that don't rise.
func TestLeadersKeepHandoverGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		_, stopA := f.start("a")
		f.until("an order of a", func() bool { return len(f.ups.list()) >= 3 })
		f.start("b")
		stopA()
		f.until("an order of b", func() bool {
			l := f.ups.list()
			return l[len(l)-1].leader == "b"
		})
		var last receivedOrder
		for i, g := range f.ups.list() {
			if i > 0 && g.leader != last.leader {
				if d := g.at.Sub(last.at); d < gap {
					t.Errorf("%s sent an order %v after %s, within the handover gap", g.leader, d, last.leader)
				}
				if g.token <= last.token {
					t.Errorf("fencing token went from %d to %d", last.token, g.token)
				}
			}
			last = g
		}
	})
}

// Guards against a leader that loses the store and sends orders until its lease
// ends, when another node may be the leader already.
func TestLeaderWithoutStoreStopsSendingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.start("a")
		f.until("an order", func() bool { return len(f.ups.list()) >= 1 })
		f.store.SetError(platform.Unavailable)
		lost := f.clk.Now()
		for f.clk.Now().Sub(lost) < 6*time.Second {
			f.clk.Step(20 * time.Millisecond)
			time.Sleep(300 * time.Microsecond)
		}
		const lease = 3 * time.Second
		for _, g := range f.ups.list() {
			if d := g.at.Sub(lost); d > lease-time.Second {
				t.Errorf("order sent %v after the store failed", d)
			}
		}
	})
}

// A node that starts while no other node is running reads announcement times
// from the store.
func TestAnnouncementsSurviveNodeRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		_, stop := f.start("a")
		f.until("the announcement in the store", func() bool { _, ok := f.store.Item(orderer.AnnouncementsPrefix + "m"); return ok })
		obs, _ := f.start("witness")
		f.until("the view", func() bool { v := obs.View(); return v != nil && len(v.Versions["m"]) == 1 })
		first := f.clk.Now().Sub(obs.View().Versions["m"][0].AnnouncedAt)
		stop()
		before := f.clk.Now()
		for f.clk.Now().Sub(before) < 7*time.Second {
			f.clk.Step(50 * time.Millisecond)
			time.Sleep(100 * time.Microsecond)
		}
		later, _ := f.start("b")
		f.until("the view", func() bool { v := later.View(); return v != nil && len(v.Versions["m"]) == 1 })
		age := f.clk.Now().Sub(later.View().Versions["m"][0].AnnouncedAt)
		if want := first + f.clk.Now().Sub(before); age < want-time.Second || age > want+time.Second {
			t.Errorf("weights were announced %v ago, want about %v", age, want)
		}
	})
}

func packed(t *testing.T, v any) string {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against an unreadable list of announcements that stays in the store for ever,
// since the leader's write expects that there is none.
func TestOddAnnouncementsAreReplaced(t *testing.T) {
	for name, odd := range map[string]string{
		"empty": "", "text": "odd", "nested": strings.Repeat("\x91", 1000), "list without elements": "\xdd\xff\xff\xff\xff",
		"version too large":  packed(t, []traffic.Announcement{{Version: 1 << 40}}),
		"versions backwards": packed(t, []traffic.Announcement{{Version: 9}, {Version: 1}}),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.store.Set(orderer.AnnouncementsPrefix+"m", odd)
				f.start("a")
				f.until("the replacement", func() bool {
					it, _ := f.store.Item(orderer.AnnouncementsPrefix + "m")
					n, err := orderer.DecodeAnnouncements(it)
					return err == nil && len(n.Announcements) == 1 && n.Announcements[0].Version == 2
				})
			})
		})
	}
}

// slowGrantStore delays the responses to lease grants. The lease runs from the
// arrival of the call.
type slowGrantStore struct {
	*testlib.Store
	clk     *testlib.Clock
	mu      sync.Mutex
	granted time.Time
}

func (s *slowGrantStore) GrantLease(ctx context.Context, l platform.Line, ttl time.Duration) (uint64, error) {
	id, err := s.Store.GrantLease(ctx, l, ttl)
	s.mu.Lock()
	if s.granted.IsZero() {
		s.granted = s.clk.Now()
	}
	s.mu.Unlock()
	clock.Sleep(ctx, s.clk, 1100*time.Millisecond)
	return id, err
}

// Guards against a leader that counts its lease from the response to the grant
// instead of from the call.
func TestLeaseIsCountedFromGrantCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		st := &slowGrantStore{Store: f.store, clk: f.clk}
		log, _ := logtest.NewNullLogger()
		obs := observer.New(f.clk, f.clk, log, st, observer.Layout{OperatorPrefix: "none/", Decode: decode})
		obs.SetListener(f.ups)
		o := orderer.New(orderer.Settings{Node: "a", HandoverGap: 800 * time.Millisecond}, f.clk, f.clk, log, st, obs, f.ups, f.ups)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = obs.Run(ctx) })
		wg.Go(func() { _ = o.Run(ctx) })
		t.Cleanup(func() { cancel(); wg.Wait() })
		f.until("the leader record", func() bool { it, ok := f.store.Item(orderer.LeaderKey); return ok && len(it.Value) > 0 })
		f.store.SetError(platform.Unavailable)
		taken := f.clk.Now()
		for f.clk.Now().Sub(taken) < 5*time.Second {
			f.clk.Step(20 * time.Millisecond)
			time.Sleep(300 * time.Microsecond)
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		const (
			lease    = 3 * time.Second
			sendTime = 800 * time.Millisecond // time for sending an order
		)
		for _, g := range f.ups.list() {
			if d := g.at.Sub(st.granted); d+sendTime > lease {
				t.Errorf("order sent %v after the grant of a lease of %v", d, lease)
			}
		}
	})
}

// releaseStore records how long the release of the leadership may take, and fails it.
type releaseStore struct {
	*testlib.Store
	mu       sync.Mutex
	releases int
	limit    time.Duration // 0 if unlimited
}

func (s *releaseStore) Commit(ctx context.Context, l platform.Line, t platform.Txn) (uint64, error) {
	if len(t.Put) == 0 || t.Put[0].Key != orderer.LeaderKey || len(t.Put[0].Value) > 0 {
		return s.Store.Commit(ctx, l, t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases++
	if deadline, ok := ctx.Deadline(); ok {
		s.limit = time.Until(deadline)
	}
	return 0, platform.Uncertain
}

// Guards against a kill at the end of the grace period: the leader waited longer for a
// silent store than the 0.5 s that are left once the last requests have ended.
func TestReleaseOfLeadershipIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		st := &releaseStore{Store: f.store}
		log, _ := logtest.NewNullLogger()
		obs := observer.New(f.clk, f.clk, log, st, observer.Layout{OperatorPrefix: "none/", Decode: decode})
		obs.SetListener(f.ups)
		o := orderer.New(orderer.Settings{Node: "a", HandoverGap: gap}, f.clk, f.clk, log, st, obs, f.ups, f.ups)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = obs.Run(ctx) })
		wg.Go(func() { _ = o.Run(ctx) })
		f.until("the leader record", func() bool { it, ok := f.store.Item(orderer.LeaderKey); return ok && len(it.Value) > 0 })
		f.until("an order", func() bool { return len(f.ups.list()) >= 1 })
		cancel()
		wg.Wait()
		if st.releases != 1 || st.limit == 0 || st.limit > 500*time.Millisecond {
			t.Errorf("%d releases with a limit of %v, want one with a limit of 500 ms at most", st.releases, st.limit)
		}
	})
}
