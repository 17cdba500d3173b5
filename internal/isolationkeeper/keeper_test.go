package isolationkeeper_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/isolationkeeper"
	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

// store counts the writes and can refuse them.
type store struct {
	*testlib.Store
	refuses atomic.Bool
	writes  atomic.Int32
}

func (s *store) Commit(ctx context.Context, l platform.Line, t platform.Txn) (uint64, error) {
	s.writes.Add(1)
	if s.refuses.Load() {
		return 0, platform.Unavailable
	}
	return s.Store.Commit(ctx, l, t)
}

type fleet struct {
	t       *testing.T
	clk     *testlib.Clock
	store   *store
	log     *logtest.Hook
	version uint64
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, clk: testlib.NewClock(time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)), store: &store{Store: testlib.NewStore()}}
}

// configure puts the next version of the configuration into force. Workspaces that end
// with "!" are isolated.
func (f *fleet) configure(workspaces ...string) {
	f.t.Helper()
	type tenant struct {
		Name     string `json:"name"`
		Isolated bool   `json:"isolated"`
	}
	f.version++
	var tenants []tenant
	for _, w := range workspaces {
		name := w
		if w[len(w)-1] == '!' {
			name = w[:len(w)-1]
		}
		tenants = append(tenants, tenant{name, name != w})
	}
	value, err := json.Marshal(map[string]any{"version": f.version, "tenants": tenants})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Set(translate.KeyConfig, string(value))
}

type listener struct{}

func (listener) SetUpstreams([]traffic.Upstream, map[string]int) {}
func (listener) RestoreRejections([]traffic.Rejection)           {}

// start starts a node and returns it once it has read the store.
func (f *fleet) start(isWriter bool) (obs *observer.Observer, stop func()) {
	f.t.Helper()
	log, hook := logtest.NewNullLogger()
	f.log = hook
	obs = observer.New(f.clk, f.clk, log, f.store, translate.Layout())
	obs.SetListener(listener{})
	k := isolationkeeper.New(f.clk, log, f.store, obs, func() (int, bool) { return 0, isWriter })
	ctx, cancel := context.WithCancel(f.t.Context())
	var g errgroup.Group
	g.Go(func() error { return obs.Run(ctx) })
	g.Go(func() error { return k.Run(ctx) })
	stop = func() { cancel(); _ = g.Wait() }
	f.t.Cleanup(stop)
	f.until("the first read", func() bool { return obs.View() != nil })
	return obs, stop
}

func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	for range 400 {
		if ok() {
			return
		}
		f.clk.Step(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	f.t.Fatalf("%s didn't happen within 20 s", what)
}

// settle lets all nodes have the configuration in force and time to write.
func (f *fleet) settle(nodes ...*observer.Observer) {
	f.t.Helper()
	f.until("the configuration", func() bool {
		return !slices.ContainsFunc(nodes, func(o *observer.Observer) bool { return o.View().Matcher.Catalog().Version != f.version })
	})
	for end := f.clk.Now().Add(4 * time.Second); f.clk.Now().Before(end); {
		f.clk.Step(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// resume lets a node that was stopped go on with what it knew, until it has the configuration.
func (f *fleet) resume(o *observer.Observer) {
	f.t.Helper()
	g, ctx := errgroup.WithContext(f.t.Context())
	ctx, cancel := context.WithCancel(ctx)
	g.Go(func() error { return o.Run(ctx) })
	f.t.Cleanup(func() { cancel(); _ = g.Wait() })
	f.until("the configuration", func() bool { return o.View().Matcher.Catalog().Version == f.version })
}

// share adds a workspace, so that the shared scope is no longer named after the workspaces that use
// it, lets a and b leave parts in it, and returns it.
func (f *fleet) share(nodes ...*observer.Observer) string {
	f.t.Helper()
	f.settle(nodes...)
	f.configure("a", "b", "c")
	f.settle(nodes...)
	for _, o := range nodes {
		if h := o.Snapshot().Isolations.History(); !h.Complete || h.Members != "" {
			f.t.Fatalf("history %+v beside an added workspace", h)
		}
	}
	return scope(nodes[0])
}

func scope(o *observer.Observer) string { return o.View().Matcher.CacheScope(nil) }

// Guards against WALL: a workspace that was isolated is removed, and the others find what
// it had left in the shared scope before; on nodes that saw it isolated, on nodes that
// start later, and if the store accepts no writes while it is isolated.
func TestRemovedIsolatedWorkspaceLeavesNoPartToOthers(t *testing.T) {
	for name, refuses := range map[string]bool{"written in time": false, "written late": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure("a", "b")
			writer, stopWriter := f.start(true)
			reader, stopReader := f.start(false)
			before := f.share(writer, reader)
			f.store.refuses.Store(refuses)
			f.configure("a!", "b", "c")
			f.settle(writer, reader)
			isolated := scope(writer)
			f.configure("b", "c")
			f.settle(writer, reader)
			if got := []string{scope(writer), scope(reader)}; isolated == before || got[0] != isolated || got[1] != isolated {
				t.Errorf("shared scope %q before the isolation, %q during it, then %q", before, isolated, got)
			}
			f.store.refuses.Store(false)
			f.settle(writer, reader)
			stopWriter()
			stopReader()
			writer, _ = f.start(true)
			if got := scope(writer); got != isolated {
				t.Errorf("shared scope of a node that started since is %q, want %q", got, isolated)
			}
			f.configure("b", "c", "a")
			f.settle(writer)
			if got := scope(writer); got != before {
				t.Errorf("shared scope after the workspace returned to it is %q, want %q", got, before)
			}
			f.configure("b", "c")
			f.settle(writer)
			if got := scope(writer); got != isolated {
				t.Errorf("shared scope after the workspace was removed again is %q, want %q", got, isolated)
			}
		})
	}
}

// Guards against a node that takes the configuration after the next one without the one
// between them: it learns of the isolated workspace from the store's list, or from its history.
func TestNodeThatMissedTheIsolationLearnsOfIt(t *testing.T) {
	for name, refuses := range map[string]bool{"list": false, "history": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure("a", "b")
			missing, stop := f.start(false)
			writer, _ := f.start(true)
			before := f.share(missing, writer)
			stop()
			f.store.refuses.Store(refuses)
			f.configure("a!", "b", "c")
			f.settle(writer)
			f.configure("b", "c")
			f.resume(missing)
			f.never(before, missing, "the name", func() bool { return scope(missing) == scope(writer) })
		})
	}
}

// never fails the test if a node that has the newest configuration uses the scope until ok holds.
func (f *fleet) never(scopeBefore string, o *observer.Observer, what string, ok func() bool) {
	f.t.Helper()
	f.until(what, func() bool {
		if o.View().Matcher.Catalog().Version == f.version && scope(o) == scopeBefore {
			f.t.Fatalf("shared scope %q, as before the isolation", scopeBefore)
		}
		return ok()
	})
}

// Guards against WALL: the store accepted no writes while a workspace was isolated, and a node
// that started after its removal let others find its parts until it had read the name.
func TestNodeThatStartsBeforeTheNameIsStoredFindsNoParts(t *testing.T) {
	f := newFleet(t)
	f.configure("a", "b")
	writer, _ := f.start(true)
	before := f.share(writer)
	f.store.refuses.Store(true)
	f.configure("a!", "b", "c")
	f.settle(writer)
	f.configure("b", "c")
	f.settle(writer)
	late, _ := f.start(false)
	end := f.clk.Now().Add(10 * time.Second)
	f.never(before, late, "ten seconds", func() bool { return f.clk.Now().After(end) })
	f.store.refuses.Store(false)
	f.never(before, late, "the name", func() bool { return scope(late) == scope(writer) })
}

// Guards against WALL: a node that skipped the configuration which isolated a workspace, beside a
// store that has forgotten it and accepts no writes, let others find its parts.
func TestNodeThatCannotReadWhatItMissedFindsNoParts(t *testing.T) {
	f := newFleet(t)
	f.configure("a", "b")
	missing, stop := f.start(false)
	writer, _ := f.start(true)
	before := f.share(missing, writer)
	stop()
	f.store.refuses.Store(true)
	f.configure("a!", "b", "c")
	f.settle(writer)
	f.configure("b", "c")
	f.store.Compact()
	f.resume(missing)
	end := f.clk.Now().Add(10 * time.Second)
	f.never(before, missing, "ten seconds", func() bool { return f.clk.Now().After(end) })
	f.store.refuses.Store(false)
	f.never(before, missing, "the name", func() bool { return scope(missing) == scope(writer) })
}

// Guards against WALL: all nodes that had seen a workspace isolated ended before one of them could
// write its name, and those that started since let others find its parts for good.
func TestIsolationThatNoNodeRemembersStartsNewScopes(t *testing.T) {
	f := newFleet(t)
	f.configure("a", "b")
	writer, stop := f.start(true)
	before := f.share(writer)
	f.store.refuses.Store(true)
	f.configure("a!", "b", "c")
	f.settle(writer)
	stop()
	f.store.refuses.Store(false)
	f.configure("b", "c")
	late, _ := f.start(true)
	end := f.clk.Now().Add(10 * time.Second)
	f.never(before, late, "ten seconds", func() bool { return f.clk.Now().After(end) })
	another, _ := f.start(false)
	if got := scope(another); got != scope(late) {
		t.Errorf("shared scopes %q and %q of two nodes", scope(late), got)
	}
}

// Guards against calls of the store that are paid for nothing: one write is enough for each
// configuration, and none is needed between.
func TestNothingIsWrittenWithoutNeed(t *testing.T) {
	f := newFleet(t)
	f.configure("a", "b")
	writer, _ := f.start(true)
	reader, _ := f.start(false)
	f.settle(writer, reader)
	f.settle(writer, reader)
	for i, workspaces := range [][]string{{"a"}, {"a"}, {"a", "x!", "y!"}, {"a", "x!"}, {"x", "y"}, {"y!"}, {"a"}} {
		f.configure(workspaces...)
		f.settle(writer, reader)
		f.settle(writer, reader)
		if n := f.store.writes.Load(); n != int32(i+2) {
			t.Errorf("%d writes for %d configurations", n, i+2)
		}
	}
}

// Guards against a record that is lost or damaged by hand: nodes that run restore it.
func TestLostRecordIsRestored(t *testing.T) {
	for name, damage := range map[string]func(*testlib.Store){
		"removed":    func(s *testlib.Store) { s.Delete(isolationkeeper.Key) },
		"unreadable": func(s *testlib.Store) { s.Set(isolationkeeper.Key, "\xc0") },
		"both removed": func(s *testlib.Store) {
			s.Delete(isolationkeeper.Key)
			s.Delete(isolationkeeper.EpochKey)
		},
		"epoch unreadable": func(s *testlib.Store) { s.Set(isolationkeeper.EpochKey, "\xc0") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure("a!", "b")
			writer, _ := f.start(true)
			f.settle(writer)
			f.configure("b")
			f.settle(writer)
			isolated := scope(writer)
			damage(f.store.Store)
			f.settle(writer)
			it, _ := f.store.Item(isolationkeeper.Key)
			if r, err := isolationkeeper.Decode(it); err != nil || !slices.Equal(r.Names, []string{"a"}) || scope(writer) != isolated {
				t.Errorf("restored %+v, error %v, shared scope %q, want %q", r, err, scope(writer), isolated)
			}
			if late, _ := f.start(false); scope(late) != isolated {
				t.Errorf("shared scope %q of a node that started since, want %q", scope(late), isolated)
			}
		})
	}
}

// Guards against WALL: names were dropped for lack of room, and others found the parts of these
// workspaces. A new epoch begins in place of that, and is logged.
func TestEpochBeginsIfThereIsNoRoom(t *testing.T) {
	f := newFleet(t)
	names := []string{"aa"}
	f.configure("aa", "b")
	writer, _ := f.start(true)
	f.settle(writer)
	scopes := []string{scope(writer)}
	for i := range 256 {
		names = append(names, string(rune('a'+i/26))+string(rune('a'+i%26))+"!")
	}
	for _, workspaces := range [][]string{names[1:], {"new!"}, {"b"}} {
		f.configure(workspaces...)
		f.settle(writer)
		if got := scope(writer); slices.Contains(scopes, got) {
			t.Errorf("shared scope %q again after %v", got, scopes)
		}
		scopes = append(scopes, scope(writer))
	}
	begun := 0
	for _, e := range f.log.AllEntries() {
		if e.Data["event"] == "cacheEpochBegun" && e.Level == logrus.WarnLevel {
			begun++
		}
	}
	if it, _ := f.store.Item(isolationkeeper.Key); begun != 2 || it.Revision > 0 {
		t.Errorf("%d epochs begun, want 2 with that of the start; list %q", begun, it.Value)
	}
}

type storedEpoch struct {
	ID, Config, NamesHash uint64
	Members               string
}

func TestCacheEpochOfProtocolSeven(t *testing.T) {
	value, err := packer.Pack(&storedEpoch{1, 1 << 40, 1<<64 - 1, "0a1b"})
	if err != nil {
		t.Fatal(err)
	}
	got, err := isolationkeeper.DecodeEpoch(platform.Item{Value: testlib.Golden(t, "protocol-7-cache-epoch", value), Revision: 9})
	if want := (traffic.CacheEpoch{ID: 1, Config: 1 << 40, NamesHash: 1<<64 - 1, Members: "0a1b", Revision: 9}); err != nil || *got != want {
		t.Errorf("got %+v, error %v", got, err)
	}
	if got, err = isolationkeeper.DecodeEpoch(platform.Item{Value: []byte{0xc0}, Revision: 9}); err == nil || *got != (traffic.CacheEpoch{Revision: 9}) {
		t.Errorf("decoded %+v, error %v", got, err)
	}
}

type storedWorkspace struct{ Name string }

func TestIsolationsOfProtocolFive(t *testing.T) {
	value, err := packer.Pack([]storedWorkspace{{"a"}, {"b \"ü\""}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := isolationkeeper.Decode(platform.Item{Value: testlib.Golden(t, "protocol-5-isolations", value), Revision: 7})
	if err != nil || got.Revision != 7 || got.Unreadable || !slices.Equal(got.Names, []string{"a", "b \"ü\""}) {
		t.Errorf("got %+v, error %v", got, err)
	}
}

// Guards against odd records that end a node or replace the names that it knows.
func TestOddRecordsAreUnreadable(t *testing.T) {
	for _, value := range []string{"", "\xc0", "\x90", "\x91\xc0", "\x91\x91\xa0", "null", "\xdd\xff\xff\xff\xff"} {
		got, err := isolationkeeper.Decode(platform.Item{Value: []byte(value), Revision: 7})
		if err == nil || got == nil || !got.Unreadable || len(got.Names) > 0 || got.Revision != 7 {
			t.Errorf("%q: decoded %+v, error %v", value, got, err)
		}
	}
}
