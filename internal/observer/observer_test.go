package observer_test

import (
	"context"
	"math"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// decode decodes four kinds of keys: "up/ID" with "STARTED [draining]",
// "ops/config" with a version, "ops/weights" with a version, and "rejected" with the number of
// features of a rejection.
func decode(it platform.Item) (traffic.StoreRecord, error) {
	value := string(it.Value)
	switch {
	case strings.HasPrefix(it.Key, "up/"):
		started, rest, _ := strings.Cut(value, " ")
		n, err := strconv.ParseInt(started, 10, 64)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return &traffic.Upstream{ID: it.Key[3:], StartedMS: n, Service: "s", Address: "127.0.0.1:1", Draining: rest == "draining"}, nil
	case it.Key == "ops/config":
		v, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return &traffic.Catalog{Version: v}, nil
	case it.Key == "rejected":
		n, err := strconv.Atoi(value)
		return &traffic.Rejections{Rejections: []traffic.Rejection{{Features: make([]uint64, n)}}}, errors.Trace(err)
	case it.Key == "ops/weights":
		v, err := strconv.Atoi(value)
		return &traffic.Weights{Model: "m", Version: v}, errors.Trace(err)
	}
	return nil, nil
}

type recordingListener struct {
	mu       sync.Mutex
	ups      []traffic.Upstream
	restored [][]traffic.Rejection // of each call
	early    bool                  // upstreams were set before
	view     func() *relayer.View
	viewed   bool // there was a view when upstreams were first set
}

func (l *recordingListener) SetUpstreams(ups []traffic.Upstream, _ map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ups == nil {
		l.viewed = l.view() != nil
	}
	l.ups = ups
}

func (l *recordingListener) RestoreRejections(rejections []traffic.Rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.early = len(l.ups) > 0
	l.restored = append(l.restored, rejections)
}

func (l *recordingListener) calls() [][]traffic.Rejection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

func (l *recordingListener) ids() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, u := range l.ups {
		out = append(out, u.Incarnation())
	}
	return strings.Join(out, " ")
}

// fixture runs an observer over a store that tests modify.
type fixture struct {
	t        *testing.T
	clk      *testlib.Clock
	store    *testlib.Store
	obs      *observer.Observer
	listener *recordingListener
	log      *logtest.Hook
}

func newFixture(t *testing.T, isReader bool) *fixture {
	t.Helper()
	b := startFixture(t, isReader, nil)
	b.until("the first read", func() bool { return b.obs.View() != nil })
	return b
}

// startFixture is newFixture without a wait for the first read, which may fail.
func startFixture(t *testing.T, isReader bool, initial error) *fixture {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	b := &fixture{t: t, clk: testlib.NewClock(start), store: testlib.NewStore(), listener: &recordingListener{}, log: hook}
	b.store.Set("ops/config", "7")
	b.store.Set("up/a", "1")
	b.store.Set("up/b", "1")
	b.store.SetError(initial)
	b.obs = observer.New(b.clk, b.clk, log, b.store, observer.Layout{OperatorPrefix: "ops/", Decode: decode})
	b.listener.view = b.obs.View
	b.obs.SetListener(b.listener)
	b.obs.SetStoreReader(func() bool { return isReader })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.obs.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

// until advances the clock in steps of 50 ms until ok returns true, for at most
// 30 s of simulated time.
func (b *fixture) until(what string, ok func() bool) time.Duration {
	b.t.Helper()
	from := b.clk.Now()
	for range 600 {
		for range 20 { // the observer's goroutines run in real time
			if ok() {
				return b.clk.Now().Sub(from)
			}
			time.Sleep(100 * time.Microsecond)
		}
		b.clk.Step(50 * time.Millisecond)
	}
	b.t.Fatalf("%s didn't happen within 30 s", what)
	return 0
}

func (b *fixture) step(d time.Duration) {
	for end := b.clk.Now().Add(d); b.clk.Now().Before(end); {
		b.clk.Step(50 * time.Millisecond)
		time.Sleep(2 * time.Millisecond)
	}
}

func TestDeregisteredUpstreamIsRemovedInTime(t *testing.T) {
	for _, reader := range []bool{true, false} {
		b := newFixture(t, reader)
		b.step(5 * time.Second)
		b.store.Delete("up/b")
		if took := b.until("the removal", func() bool { return b.listener.ids() == "a@1" }); took > 2*time.Second {
			t.Errorf("reader=%t: upstream was removed after %v, want at most 2 s", reader, took)
		}
	}
}

// Guards against treating the long poll interval of a node that relies on store
// readers as an outage, which kept upstreams that had left.
func TestLongPollIntervalIsNotAnOutage(t *testing.T) {
	b := newFixture(t, false)
	for range 80 {
		d, _ := b.obs.Digest()
		b.obs.ReceiveDigest("reader", d)
		b.step(100 * time.Millisecond)
	}
	b.store.Delete("up/b")
	it, _ := b.store.Item("ops/config")
	b.obs.ReceiveDigest("reader", observer.Digest{Revision: it.Revision + 100, Hash: 1, ConfigVersion: 7})
	if took := b.until("the removal", func() bool { return b.listener.ids() == "a@1" }); took > time.Second {
		t.Errorf("upstream was removed %v after the digest, want at most 1 s", took)
	}
}

func TestMissingUpstreamsAreKeptAfterOutage(t *testing.T) {
	b := newFixture(t, true)
	b.store.SetError(platform.Unavailable)
	b.step(6 * time.Second)
	b.store.Delete("up/b") // expired while the upstream couldn't renew it
	b.store.SetError(nil)
	b.step(1500 * time.Millisecond)
	if got := b.listener.ids(); got != "a@1 b@1" {
		t.Fatalf("upstreams 1.5 s after the outage are %q, want both", got)
	}
	b.until("the end of the recovery grace", func() bool { return b.listener.ids() == "a@1" })
}

// Guards against keeping upstreams that were deregistered during an outage that
// affected only this node.
func TestOutageOfOneNodeKeepsNoUpstreams(t *testing.T) {
	b := newFixture(t, false)
	b.store.SetError(platform.Unavailable)
	for range 60 {
		d, _ := b.obs.Digest()
		b.obs.ReceiveDigest("reader", observer.Digest{Revision: d.Revision + 50, Hash: 9, ConfigVersion: d.ConfigVersion})
		b.step(100 * time.Millisecond)
	}
	b.store.Delete("up/b")
	b.store.SetError(nil)
	if took := b.until("the removal", func() bool { return b.listener.ids() == "a@1" }); took > 1500*time.Millisecond {
		t.Errorf("upstream was removed %v after the store recovered, want at most 1.5 s", took)
	}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	b := newFixture(t, true)
	b.store.Set("ops/config", "9")
	b.until("version 9", func() bool { return b.obs.View().Matcher.Catalog().Version == 9 })
	b.store.Set("ops/config", "8")
	b.step(3 * time.Second)
	if v := b.obs.View().Matcher.Catalog().Version; v != 9 {
		t.Fatalf("version %d applies, want 9", v)
	}
	b.store.Set("ops/config", "what?")
	b.store.Set("up/c", "unreadable")
	b.step(3 * time.Second)
	if got := b.listener.ids(); got != "a@1 b@1" || b.obs.View().Matcher.Catalog().Version != 9 {
		t.Fatalf("after undecodable keys, upstreams are %q and the version is %d", got, b.obs.View().Matcher.Catalog().Version)
	}
	unreadable := 0
	for _, e := range b.log.AllEntries() {
		if e.Data["event"] == "itemUnreadable" {
			unreadable++
		}
	}
	if unreadable != 2 {
		t.Errorf("%d log lines about undecodable keys, want one each", unreadable)
	}
}

func TestRegistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	b := newFixture(t, true)
	b.store.Set("up/a", "5")
	b.until("the new incarnation", func() bool { return b.listener.ids() == "a@5 b@1" })
	b.store.Set("up/a", "1")
	b.step(3 * time.Second)
	if got := b.listener.ids(); got != "a@5 b@1" {
		t.Fatalf("upstreams are %q, want the newer incarnation", got)
	}
}

// A restarted node finds only the newest weights in the store. Peers report
// when earlier versions were announced.
func TestRestartedNodeReceivesOlderAnnouncements(t *testing.T) {
	b := newFixture(t, true)
	b.store.Set("ops/weights", "3")
	b.until("the weights", func() bool { return len(b.obs.View().Versions["m"]) > 0 })
	b.obs.ReceiveAnnouncement("m", 2, 9*time.Second)
	b.obs.ReceiveAnnouncement("m", 3, 4*time.Second)
	got := b.obs.View().Versions["m"]
	if len(got) != 2 || got[0].Version != 2 || got[1].Version != 3 {
		t.Fatalf("known versions are %+v, want 2 and 3", got)
	}
	for i, age := range []time.Duration{9 * time.Second, 4 * time.Second} {
		if d := b.clk.Now().Sub(got[i].AnnouncedAt) - age; d < 0 || d > time.Second {
			t.Errorf("age of version %d differs by %v from the reported one", got[i].Version, d)
		}
	}
}

// Guards against weights that are forgotten when the nodes that read them end one after the
// other: a write of older ones that was executed late has replaced them in the store.
func TestNewerWeightsOfPeersAreKnown(t *testing.T) {
	b := startFixture(t, true, platform.Unavailable)
	b.obs.ReceiveAnnouncement("m", 3, time.Second) // counts only once the store has been read
	b.store.Set("ops/weights", "2")
	b.store.SetError(nil)
	b.until("the weights", func() bool { v := b.obs.View(); return v != nil && len(v.Versions["m"]) > 0 })
	if got := b.obs.View().Versions["m"]; len(got) != 1 || got[0].Version != 2 {
		t.Fatalf("known versions are %+v, want 2", got)
	}
	b.obs.ReceiveAnnouncement("m", 0, time.Second)
	b.obs.ReceiveAnnouncement("m", math.MaxInt32+1, time.Second)
	b.obs.ReceiveAnnouncement("m", 4, time.Second)
	got := b.obs.View().Versions["m"]
	if len(got) != 2 || got[1].Version != 4 || b.clk.Now().Sub(got[1].AnnouncedAt) != time.Second {
		t.Fatalf("known versions are %+v, want 2, and 4 as announced 1 s ago", got)
	}
	if w := b.obs.Snapshot().Weights; len(w) != 1 || w[0].Version != 4 {
		t.Errorf("weights to be ordered are %+v, want version 4", w)
	}
	b.obs.ReceiveAnnouncement("m", 3, 2*time.Second)
	b.step(2 * time.Second)
	if got = b.obs.View().Versions["m"]; len(got) != 3 || got[1].Version != 3 || got[2].Version != 4 {
		t.Errorf("known versions are %+v, want 2, 3 and 4", got)
	}
	for v := 5; v < 30; v++ {
		b.obs.ReceiveAnnouncement("m", v, 0)
	}
	if got = b.obs.View().Versions["m"]; len(got) > 8 || got[len(got)-1].Version != 29 {
		t.Errorf("%d versions up to %d, want 8 at most up to 29", len(got), got[len(got)-1].Version)
	}
}

func TestPeerProofCountsForSameConfigurationOnly(t *testing.T) {
	b := newFixture(t, false)
	b.store.SetError(platform.Unavailable)
	b.step(5 * time.Second)
	now := b.clk.Elapsed()
	b.obs.ReceiveProof(8, now-time.Second)
	if b.obs.Proof().Fresh(now, 2*time.Second) {
		t.Fatal("accepted a proof for another configuration version")
	}
	b.obs.ReceiveProof(7, now-time.Second)
	if !b.obs.Proof().Fresh(now, 2*time.Second) || b.obs.Proof().Fresh(now, 900*time.Millisecond) {
		t.Fatal("accepted proof differs in age from the peer's")
	}
	// Accepting a proof with a future time would block all later proofs.
	b.obs.ReceiveProof(7, now+time.Hour)
	b.obs.ReceiveProof(7, now)
	if age, _ := b.obs.Proof().Age(now); age != 0 {
		t.Fatalf("age is %v after a proof with a future time and one of now, want 0", age)
	}
}

// Guards against a watch that delivers no changes: a newer configuration in a
// store reader's digest must trigger a read.
func TestNewerConfigurationInDigestTriggersRead(t *testing.T) {
	b := newFixture(t, false)
	sendUnchangedDigest := func() {
		d, _ := b.obs.Digest()
		b.obs.ReceiveDigest("reader", d)
	}
	for range 40 {
		sendUnchangedDigest()
		b.step(100 * time.Millisecond)
	}
	before, _ := b.obs.Digest()
	b.store.Set("ops/config", "9")
	took := b.until("version 9", func() bool {
		b.obs.ReceiveDigest("reader", observer.Digest{Revision: before.Revision + 1, Hash: before.Hash, ConfigVersion: 9})
		return b.obs.View().Matcher.Catalog().Version == 9
	})
	if took > time.Second {
		t.Errorf("configuration was applied after %v, want at most 1 s", took)
	}
}

// Guards against a store reader that can no longer read the store and keeps
// other nodes from reading it.
func TestDigestOfOldSnapshotIsNotFresh(t *testing.T) {
	b := newFixture(t, true)
	if _, fresh := b.obs.Digest(); !fresh {
		t.Fatal("digest of a recent snapshot isn't fresh")
	}
	b.store.SetError(platform.Unavailable)
	b.step(2 * time.Second)
	if _, fresh := b.obs.Digest(); fresh {
		t.Fatal("digest of a 2 s old snapshot is fresh")
	}
}

// Guards against a node that starts while the store is unavailable and then reads only
// what operators write, since store readers send it digests: it knew no upstreams and
// refused all requests until its next restart.
func TestStartWithoutStoreEndsInFullRead(t *testing.T) {
	b := startFixture(t, false, platform.Unavailable)
	for range 30 {
		b.obs.ReceiveDigest("reader", observer.Digest{Revision: 50, Hash: 9, ConfigVersion: 7})
		b.step(100 * time.Millisecond)
	}
	b.store.SetError(nil)
	took := b.until("the first full read", func() bool {
		b.obs.ReceiveDigest("reader", observer.Digest{Revision: 50, Hash: 9, ConfigVersion: 7})
		return b.listener.ids() == "a@1 b@1"
	})
	if took > 2*time.Second {
		t.Errorf("upstreams known %v after the store is back, want at most 2 s", took)
	}
}

// Guards against a node that sends requests before it knows what the fleet rejected before
// the node started, or that later restores what has been given up since.
func TestStoredRejectionsAreRestoredOnceBeforeUpstreamsAreKnown(t *testing.T) {
	b := startFixture(t, true, platform.Unavailable)
	b.store.Set("rejected", "1")
	b.step(time.Second)
	if restored := b.listener.calls(); len(restored) > 0 {
		t.Fatalf("restored %v without the store", restored)
	}
	b.store.SetError(nil)
	b.until("the first read", func() bool { return b.listener.ids() != "" })
	b.store.Set("rejected", "2")
	b.until("the next read", func() bool { return len(b.obs.Snapshot().Rejections.Rejections[0].Features) == 2 })
	if restored := b.listener.calls(); len(restored) != 1 || len(restored[0]) != 1 || len(restored[0][0].Features) != 1 || b.listener.early {
		t.Errorf("restored %v, upstreams were known before: %t; want one rejection with one feature, once, before", restored, b.listener.early)
	}
}

// Guards against proper requests that are refused: a configuration was in force before the
// node knew the upstreams that serve it.
func TestUpstreamsAreKnownBeforeConfigurationIsInForce(t *testing.T) {
	b := startFixture(t, true, nil)
	b.until("the configuration", func() bool { return b.obs.View() != nil })
	if b.listener.ids() == "" || b.listener.viewed {
		t.Errorf("upstreams %q, set after the configuration was in force: %t", b.listener.ids(), b.listener.viewed)
	}
}
