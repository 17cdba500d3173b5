package observer_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/store"
)

// newEraFixture returns an observer of a store that can come back from an older copy. It holds
// configuration 1, in which no workspace is isolated.
func newEraFixture(t *testing.T) (*fixture, *metastore.Store) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	b := &fixture{t: t, clk: testlib.NewClock(start), listener: &recordingListener{}, log: hook}
	meta := metastore.New(b.clk)
	srv := httptest.NewServer(meta.Handler("n"))
	t.Cleanup(srv.Close)
	client := store.New(strings.TrimPrefix(srv.URL, "http://"), tally.NoopScope)
	meta.Put("ops/config", []byte("1 a b"))
	p, err := client.Range(t.Context(), platform.LineFleet, "ops/config", "", false)
	if err != nil {
		t.Fatal(err)
	}
	meta.Put("epoch", []byte(strconv.FormatUint(p.Items[0].Revision, 10)))
	meta.Put("up/a", []byte("1"))
	b.obs = observer.New(b.clk, b.clk, log, client, observer.Layout{OperatorPrefix: "ops/", Decode: func(it platform.Item) (traffic.StoreRecord, error) {
		if strings.HasPrefix(it.Key, "up/") {
			return decode(it)
		}
		return decodeWorkspaces(it)
	}})
	b.listener.view = b.obs.View
	b.obs.SetListener(b.listener)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.obs.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	b.until("the record", func() bool { return b.obs.View() != nil && b.obs.Snapshot().Isolations.Complete() })
	return b, meta
}

func (b *fixture) isDraining(id string) bool {
	ups := b.obs.Snapshot().Upstreams
	i := slices.IndexFunc(ups, func(u traffic.Upstream) bool { return u.ID == id })
	return i >= 0 && ups[i].Draining
}

func (b *fixture) untilRestored() {
	b.t.Helper()
	b.until("the end of the era", func() bool {
		return slices.ContainsFunc(b.log.AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == "storeRestored" })
	})
}

// Guards against a store that comes back from an older copy, after which nodes go back to an older
// configuration, send work to an upstream that drains, or drop running upstreams that have yet to
// write their registration again.
func TestOlderCopyOfStoreUndoesNothing(t *testing.T) {
	b, meta := newEraFixture(t)
	backup := meta.Backup()
	meta.Put("ops/config", []byte("2 a! b"))
	meta.Put("up/a", []byte("1 draining"))
	meta.Put("up/b", []byte("1"))
	meta.Put("up/c", []byte("1"))
	b.until("the changes", func() bool { return b.configVersion() == 2 && b.listener.ids() == "a@1 b@1 c@1" && b.isDraining("a") })
	meta.Restore(backup)
	b.untilRestored()
	b.step(time.Second)
	if got := b.listener.ids(); b.configVersion() != 2 || got != "a@1 b@1 c@1" || !b.isDraining("a") {
		t.Errorf("configuration %d, upstreams %s, a drains: %t", b.configVersion(), got, b.isDraining("a"))
	}
	meta.Put("up/b", []byte("1")) // c doesn't come back
	meta.Put("up/a", []byte("1 draining"))
	b.until("the end of c", func() bool { return b.listener.ids() == "a@1 b@1" })
	if !b.isDraining("a") {
		t.Error("upstream a doesn't drain any more")
	}
	meta.Put("up/a", []byte("1"))
	b.until("a no longer draining", func() bool { return !b.isDraining("a") })
}

// Guards against configurations that are noticed only by reads, and against a new cache epoch, after
// the store came back from an older copy: the watch has to go on in the new era, and nodes still know
// all isolated workspaces.
func TestConfigurationsAreWatchedInNextEra(t *testing.T) {
	b, meta := newEraFixture(t)
	backup := meta.Backup()
	meta.Put("ops/config", []byte("2 a! b"))
	b.until("configuration 2", func() bool { return b.configVersion() == 2 })
	meta.Restore(backup)
	b.untilRestored()
	b.step(time.Second) // the watch of the earlier era has ended
	meta.Put("ops/config", []byte("2 a! b"))
	b.step(time.Second)
	meta.Put("ops/config", []byte("3 b"))
	const unread = 300 * time.Millisecond // until the next read may show it
	time.Sleep(50 * time.Millisecond)
	if d := b.until("configuration 3", func() bool { return b.configVersion() == 3 }); d > unread {
		t.Errorf("configuration taken after %v, want at most %v", d, unread)
	}
	b.until("the names", func() bool { return b.obs.Snapshot().Isolations.Complete() })
	if h := b.obs.Snapshot().Isolations.History(); h.Epoch != 1 || !slices.Equal(h.Past, []string{"a"}) {
		t.Errorf("history %+v, want a in epoch 1", h)
	}
}
