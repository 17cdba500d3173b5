package relayer_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	versionCutoff = 12 * time.Second
	// clockStep is how far the tests step the clock at once.
	clockStep = 50 * time.Millisecond
)

type noListener struct{}

func (noListener) SetUpstreams([]traffic.Upstream, map[string]int) {}
func (noListener) RestoreRejections([]traffic.Rejection)           {}

// weightsFixture is a fixture whose fleet is an observer over a store. Its upstreams are
// engines with version 1 of the model m.
type weightsFixture struct {
	*fixture
	clk   *testlib.Clock
	store *testlib.Store
	obs   *observer.Observer
}

func newWeightsFixture(t *testing.T) *weightsFixture {
	t.Helper()
	w := &weightsFixture{clk: testlib.NewClock(time.Now()), store: testlib.NewStore()}
	w.fixture = newFixtureWithSettings(t, w.clk, relayer.Settings{DataCentre: "a", MaxProofAge: unlimited, VersionCutoff: versionCutoff}, ok, ok)
	w.store.Set("ops/config", "")
	log, _ := logtest.NewNullLogger()
	w.obs = observer.New(w.clk, w.clk, log, w.store, observer.Layout{OperatorPrefix: "ops/", Decode: func(it platform.Item) (traffic.StoreRecord, error) {
		if it.Key == "ops/config" {
			c := catalog(1, "key")
			c.Routes[0].Timeout = unlimited
			return c, nil
		}
		v, err := strconv.Atoi(string(it.Value))
		return &traffic.Weights{Model: "m", Version: v}, err
	}})
	w.obs.SetListener(noListener{})
	w.relay.Fleet, w.relay.Boot = w.obs, w.clk
	var ups []traffic.Upstream
	for i, u := range w.ups {
		ups = append(ups, traffic.Upstream{ID: strconv.Itoa(i), StartedMS: 1, Service: "s", Address: u.Addr, DataCentre: "a", Slots: 8, Models: map[string]int{"m": 1}})
	}
	w.relay.SetUpstreams(ups, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = w.obs.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	w.step(time.Second)
	return w
}

func (w *weightsFixture) step(d time.Duration) {
	for end := w.clk.Now().Add(d); w.clk.Now().Before(end); {
		w.clk.Step(clockStep)
		time.Sleep(2 * time.Millisecond) // the observer's goroutines run in real time
	}
}

// awaitRead steps the clock until the next read of the store.
func (w *weightsFixture) awaitRead() {
	calls := w.store.RangeCalls()
	for w.store.RangeCalls() == calls {
		w.step(clockStep)
	}
}

// served reports whether a prompt is served. It steps the clock while the request waits for
// an engine.
func (w *weightsFixture) served() bool {
	done := make(chan *reply, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- servePromptWithin(w.fixture, unlimited) })
	defer wg.Wait()
	for {
		select {
		case r := <-done:
			return r.status == 200
		case <-time.After(20 * time.Millisecond):
			w.clk.Step(clockStep)
		}
	}
}

// Guards against refusals after an outage of the store: the time for older weights ran on
// while no engine could be ordered, so that no engine was left that might be used.
func TestOlderWeightsServeUntilEnginesCouldBeOrdered(t *testing.T) {
	w := newWeightsFixture(t)
	w.store.Set("ops/weights", "2")
	w.step(time.Second)
	if v := w.obs.View().Versions["m"]; len(v) != 1 || v[0].Version != 2 {
		t.Fatalf("versions %v, want 2 to be announced", v)
	}
	w.store.SetError(platform.Unavailable)
	w.step(8 * time.Second)
	if !w.served() {
		t.Error("refused during the outage")
	}
	w.step(6 * time.Second)
	if !w.served() {
		t.Error("refused during the outage, after the time for older weights")
	}
	w.store.SetError(nil)
	w.step(8 * time.Second)
	if !w.served() {
		t.Error("refused 8 s after the outage")
	}
	w.step(4 * time.Second)
	if w.served() {
		t.Error("served on older weights 12 s after the outage")
	}
}

// Guards against older weights that are used for longer because single reads of the store
// fail, with which engines can be ordered all the same.
func TestSingleFailedReadsDontProlongOlderWeights(t *testing.T) {
	w := newWeightsFixture(t)
	w.store.Set("ops/weights", "2")
	for range 8 {
		w.step(900 * time.Millisecond)
		w.awaitRead() // on a busy processor the step may have ended before a read
		w.store.SetError(platform.Unavailable)
		w.awaitRead()
		w.store.SetError(nil)
	}
	w.step(versionCutoff - 9*time.Second)
	if w.served() {
		t.Error("served on older weights after the time for them")
	}
}

// Guards against older weights that are used for longer by a node that the store throttles.
func TestThrottledReadsDontProlongOlderWeights(t *testing.T) {
	w := newWeightsFixture(t)
	w.store.Set("ops/weights", "2")
	w.step(2 * time.Second)
	w.store.SetError(platform.Throttled)
	w.step(versionCutoff - time.Second)
	if w.served() {
		t.Error("served on older weights after the time for them")
	}
}

// Guards against refusals by nodes that have started after an outage of the store: they learn
// from their peers when weights were named, and must learn of the outage, too.
func TestNodeStartedAfterOutageServesOlderWeights(t *testing.T) {
	w := newWeightsFixture(t)
	w.store.Set("ops/weights", "2")
	w.step(2 * time.Second)
	w.obs.ReceiveAnnouncement("m", 2, versionCutoff-time.Second)
	if w.served() {
		t.Fatal("served on older weights after the time for them")
	}
	w.obs.ReceiveOutage(4 * time.Second)
	if !w.served() {
		t.Error("refused 4 s after the outage")
	}
	w.step(versionCutoff - 4*time.Second)
	if w.served() {
		t.Error("served on older weights 12 s after the outage")
	}
}
