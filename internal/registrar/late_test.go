package registrar_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/registrar"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/store"
)

const (
	key  = registrar.Prefix + "n"
	step = 50 * time.Millisecond
)

// fixture is a store on which processes of node n register.
type fixture struct {
	t    *testing.T
	clk  *testlib.Clock
	meta *metastore.Store
	log  *logrus.Logger

	mu       sync.Mutex
	revision uint64 // of the key in the latest snapshot
	asOf     uint64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clk := testlib.NewClock(time.Unix(1000, 0))
	f := &fixture{t: t, clk: clk, meta: metastore.New(clk), log: logrus.New()}
	f.log.SetOutput(io.Discard)
	return f
}

func (f *fixture) client(process string) *store.Store {
	f.t.Helper()
	srv := httptest.NewServer(f.meta.Handler(process))
	f.t.Cleanup(srv.Close)
	return store.New(strings.TrimPrefix(srv.URL, "http://"), tally.NoopScope)
}

// KeyRevision implements registrar.Fleet.
func (f *fixture) KeyRevision(string) (revision, asOf uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.asOf
}

// run starts a process of the node, whose calls to the store have the faults of process.
// The returned function stops it.
func (f *fixture) run(process string, bootID uint64) (stop func()) {
	f.t.Helper()
	n := traffic.Node{Name: "n", Entry: "10.0.0.1:1", Peer: "10.0.0.1:2", BootID: bootID}
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := make(chan struct{})
	r := registrar.New(f.clk, f.log, f.client(process), f, n)
	go func() { defer close(ended); _ = r.Run(ctx) }()
	stop = func() {
		cancel()
		for stopped := false; !stopped; {
			select {
			case <-ended:
				stopped = true
			case <-time.After(2 * time.Millisecond):
				f.clk.Step(step)
			}
		}
	}
	f.t.Cleanup(stop)
	return stop
}

// advance lets time pass, in which the node reads the store each 0.8 s.
func (f *fixture) advance(d time.Duration) {
	f.t.Helper()
	const readInterval = 800 * time.Millisecond
	reader := f.client("reader")
	for passed := time.Duration(0); passed < d; passed += step {
		if passed%readInterval == 0 {
			p, err := reader.Range(f.t.Context(), platform.LineFleet, key, "", false)
			if err != nil {
				f.t.Fatal(err)
			}
			f.mu.Lock()
			f.revision, f.asOf = 0, p.Revision
			for _, it := range p.Items {
				f.revision = it.Revision
			}
			f.mu.Unlock()
		}
		time.Sleep(2 * time.Millisecond) // the registrar does its calls
		f.clk.Step(step)
	}
}

// registered returns the boot ID of the process that is registered, 0 if none is.
func (f *fixture) registered() uint64 {
	f.t.Helper()
	p, err := f.client("reader").Range(f.t.Context(), platform.LineFleet, key, "", false)
	if err != nil || len(p.Items) == 0 {
		return 0
	}
	n, err := registrar.Decode(p.Items[0].Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return n.BootID
}

func (f *fixture) expect(bootID uint64, when string) {
	f.t.Helper()
	if got := f.registered(); got != bootID {
		f.t.Errorf("%s: the registration is that of process %d, want %d (0 is none)", when, got, bootID)
	}
}

func (f *fixture) lose(process string, late time.Duration, loses func(n int) bool) {
	f.meta.SetFaults(process, metastore.Faults{Losses: metastore.Losses{Loses: loses, Late: late}})
}

func only(write int) func(n int) bool { return func(n int) bool { return n == write } }

// The writes of a process that starts are the grant of its lease, which is the first, and
// its registration.
const registration = 2

// Guards against RECOVER: a registration that was executed late took the place of the
// valid one, and ended with a lease that nobody renewed. The node, which renewed another
// lease, stayed missing from all directories.
func TestLateRegistrationDoesNotReplaceValidOne(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.lose("a", 4*time.Second, only(registration))
	f.run("a", 1)
	f.advance(6 * time.Second)
	f.expect(1, "after the late write")
	f.advance(16 * time.Second)
	f.expect(1, "when the lease of the late write would have ended")
}

// Guards against nodes that disappear for good or are registered twice, whichever
// responses of the store are lost and whenever these writes are executed.
func TestLostResponsesLeaveNodeRegistered(t *testing.T) {
	t.Parallel()
	choices := map[string]func(n int) bool{
		"first": only(1), "second": only(2), "third": only(3),
		"first two": func(n int) bool { return n <= 2 }, "second and third": func(n int) bool { return n == 2 || n == 3 },
		"each fifth from the second": func(n int) bool { return n%5 == 2 }, "all of the first six": func(n int) bool { return n <= 6 },
	}
	for seed := range uint64(6) {
		choices[fmt.Sprintf("seed %d", seed)] = func(n int) bool {
			return rand.New(rand.NewPCG(seed, uint64(n))).Float64() < 0.35
		}
	}
	for name, loses := range choices {
		for _, late := range []time.Duration{0, time.Second, 4 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprint(name, " ", late), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				f.lose("a", late, loses)
				stop := f.run("a", 1)
				f.advance(4500 * time.Millisecond)
				f.meta.SetFaults("a", metastore.Faults{})
				f.advance(8 * time.Second) // the last late writes are done, and mended
				for range 4 {
					f.expect(1, "after the fault")
					f.advance(4 * time.Second)
				}
				stop()
				f.expect(0, "after the stop")
			})
		}
	}
}

// Guards against a node that a late write of its earlier process removes from the
// directories.
func TestLateRegistrationOfKilledProcessDoesNotReplaceItsSuccessor(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.lose("a", 4*time.Second, only(registration))
	kill := f.run("a", 1)
	f.advance(200 * time.Millisecond)
	f.meta.SetFaults("a", metastore.Faults{Down: true})
	kill()
	f.run("b", 2)
	f.advance(6 * time.Second)
	f.expect(2, "after the late write")
	f.advance(16 * time.Second)
	f.expect(2, "when the lease of the late write has ended")
}

// Guards against DRAIN: directories named a node that was off, since its registration was
// executed after its withdrawal.
func TestLateRegistrationOfStoppedProcessIsVoid(t *testing.T) {
	t.Parallel()
	for _, write := range []int{registration, registration + 1, registration + 2} {
		f := newFixture(t)
		f.lose("a", 4*time.Second, func(n int) bool { return n >= registration && n <= write })
		stop := f.run("a", 1)
		f.advance(time.Second)
		f.meta.SetFaults("a", metastore.Faults{})
		stop()
		f.expect(0, "after the stop")
		f.advance(6 * time.Second)
		f.expect(0, "after the late write")
	}
}

// Guards against a withdrawal that removes the registration of the next process.
func TestLateWithdrawalLeavesSuccessorRegistered(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	stop := f.run("a", 1)
	f.advance(2 * time.Second)
	f.lose("a", 4*time.Second, func(int) bool { return true })
	stop()
	f.run("b", 2)
	f.advance(20 * time.Second)
	f.expect(2, "after the late withdrawal")
}

// Guards against DRAIN: directories named a node that was off, since the store had
// rejected its only try to withdraw.
func TestWithdrawalIsRepeated(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	stop := f.run("a", 1)
	f.advance(2 * time.Second)
	f.lose("a", time.Minute, only(1))
	stop()
	f.expect(0, "after the stop")
}

// Guards against RECOVER: a node whose key was gone didn't notice as long as its lease
// was renewed, or until the next renewal.
func TestMissingRegistrationIsRestored(t *testing.T) {
	t.Parallel()
	for name, remove := range map[string]func(f *fixture){
		"key removed":   func(f *fixture) { f.meta.Delete(key) },
		"lease expired": func(f *fixture) { f.meta.ExpireLeases() },
		"key replaced":  func(f *fixture) { f.meta.Put(key, []byte("other")) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.run("a", 1)
			f.advance(6 * time.Second) // not long after a renewal
			remove(f)
			f.advance(2 * time.Second)
			f.expect(1, "2 s later")
			f.advance(20 * time.Second)
			f.expect(1, "22 s later")
		})
	}
}

// Guards against a node that stays unregistered, or renews the lease of another one as its own,
// after the store came back from a copy that is older than its registration.
func TestNodeRegistersAgainAfterOlderCopyOfStore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	backup := f.meta.Backup()
	f.run("a", 1)
	f.advance(time.Second)
	f.expect(1, "at the start")
	f.meta.Restore(backup)
	f.expect(0, "after the restore")
	other, err := f.client("other").GrantLease(f.t.Context(), platform.LineFleet, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	f.advance(2 * time.Second)
	f.expect(1, "in the next era")
	if err := f.client("other").RenewLease(f.t.Context(), platform.LineFleet, other); !errors.Is(err, platform.LeaseEnded) {
		t.Errorf("%v, want the lease of the other node to have ended: its ID was that of this node's lease before", err)
	}
}
