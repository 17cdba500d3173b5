package observer_test

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// watchedStore reports changes to watches, and fails reads while cut is set.
type watchedStore struct {
	*testlib.Store
	cut atomic.Bool
}

func (s *watchedStore) Range(ctx context.Context, l platform.Line, prefix, after string, stale bool) (platform.Page, error) {
	if s.cut.Load() {
		return platform.Page{}, platform.Unavailable
	}
	return s.Store.Range(ctx, l, prefix, after, stale)
}

func (s *watchedStore) Watch(ctx context.Context, l platform.Line, prefix string, after uint64, wait time.Duration) (platform.Page, error) {
	if s.cut.Load() && wait == 0 {
		return platform.Page{}, platform.Unavailable
	}
	for ctx.Err() == nil {
		if p, err := s.Store.Watch(ctx, l, prefix, after, 0); err != nil || len(p.Items) > 0 || wait == 0 {
			return p, err
		}
		time.Sleep(time.Millisecond)
	}
	return platform.Page{}, platform.Unavailable
}

// decodeWorkspaces decodes "ops/config" with a version and names, of which those with "!" are
// isolated, and "epoch" with the revision of a configuration.
func decodeWorkspaces(it platform.Item) (traffic.StoreRecord, error) {
	words := strings.Fields(string(it.Value))
	if len(words) == 0 {
		return nil, errors.NotValidf("empty value")
	}
	n, err := strconv.ParseUint(words[0], 10, 64)
	switch {
	case err != nil:
		return nil, errors.Trace(err)
	case it.Key == "epoch":
		return &traffic.CacheEpoch{ID: 1, Config: n, NamesHash: xxhash.Sum64String(""), Revision: it.Revision}, nil
	}
	c := &traffic.Catalog{Version: n}
	for _, w := range words[1:] {
		name, isolated := strings.CutSuffix(w, "!")
		c.Workspaces = append(c.Workspaces, traffic.Workspace{Name: name, Isolated: isolated})
	}
	return c, nil
}

func newWatchingFixture(t *testing.T) (*fixture, *watchedStore) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	b := &fixture{t: t, clk: testlib.NewClock(start), store: testlib.NewStore(), listener: &recordingListener{}, log: hook}
	store := &watchedStore{Store: b.store}
	b.store.Set("ops/config", "1 a b")
	config, _ := b.store.Item("ops/config")
	b.store.Set("epoch", strconv.FormatUint(config.Revision, 10))
	b.obs = observer.New(b.clk, b.clk, log, store, observer.Layout{OperatorPrefix: "ops/", Decode: decodeWorkspaces})
	b.listener.view = b.obs.View
	b.obs.SetListener(b.listener)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.obs.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	b.until("the record", func() bool { return b.obs.View() != nil && b.obs.Snapshot().Isolations.Complete() })
	return b, store
}

func (b *fixture) configVersion() uint64 { return b.obs.View().Matcher.Catalog().Version }

// Guards against WALL: a node took a configuration without the one before, which had isolated a
// workspace, and let others find the parts of that workspace. It must learn of it from the watch
// and, if that is slower, from the history that it reads beside the newest configuration.
func TestSupersededIsolationIsKnown(t *testing.T) {
	for name, cut := range map[string]bool{"watch": true, "read": false} {
		t.Run(name, func(t *testing.T) {
			b, store := newWatchingFixture(t)
			before := b.obs.View().Matcher.CacheScope(nil)
			store.cut.Store(cut)
			b.store.Set("ops/config", "2 a! b")
			b.store.Set("ops/config", "3 b")
			b.until("the configuration", func() bool { return b.configVersion() == 3 })
			b.until("the history", func() bool { return b.obs.Snapshot().Isolations.Complete() })
			h := b.obs.Snapshot().Isolations.History()
			if !slices.Equal(h.Past, []string{"a"}) {
				t.Errorf("history %+v", h)
			}
			b.until("the scope of the history", func() bool {
				got := b.obs.View().Matcher.CacheScope(nil)
				return got != before && got == scoper.New([]traffic.Workspace{{Name: "b"}}, h).Scope(nil)
			})
		})
	}
}

// Guards against WALL: a configuration that can't be decoded may isolate a workspace, and the next
// one may remove it.
func TestUnreadableConfigurationMayHaveIsolated(t *testing.T) {
	b, _ := newWatchingFixture(t)
	before := b.obs.View().Matcher.CacheScope(nil)
	b.store.Set("ops/config", "two a! b")
	b.step(time.Second)
	b.store.Set("ops/config", "3 b")
	b.until("the configuration", func() bool { return b.configVersion() == 3 })
	for range 40 {
		b.step(100 * time.Millisecond)
		if b.obs.Snapshot().Isolations.Complete() || b.obs.View().Matcher.CacheScope(nil) == before {
			t.Fatalf("shared scope %q, complete %t", b.obs.View().Matcher.CacheScope(nil), b.obs.Snapshot().Isolations.Complete())
		}
	}
}
