package rejectionkeeper_test

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/rejectionkeeper"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

var start = time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)

// node is a node whose snapshot is what the store has.
type node struct {
	store *testlib.Store
	mu    sync.Mutex
	held  []traffic.Rejection
}

func (n *node) Snapshot() *observer.Snapshot {
	s := &observer.Snapshot{Loaded: true}
	if it, ok := n.store.Item(rejectionkeeper.Key); ok {
		r, _ := rejectionkeeper.Decode(it)
		s.Rejections = *r
	}
	return s
}

func (n *node) Rejections() []traffic.Rejection {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

func (n *node) reject(r ...traffic.Rejection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = r
}

func startNode(t *testing.T, clk *testlib.Clock, store *testlib.Store, isWriter bool) *node {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	n := &node{store: store}
	k := rejectionkeeper.New(clk, log, store, n, n, func() bool { return isWriter })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func await(t *testing.T, clk *testlib.Clock, n *node, want ...traffic.Rejection) {
	t.Helper()
	var got []traffic.Rejection
	for range 200 {
		if got = n.Snapshot().Rejections.Rejections; len(got) == len(want) && (len(got) == 0 || reflect.DeepEqual(got[0].Features, want[0].Features)) {
			return
		}
		clk.Step(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the store has %v after 10 s, want %v", got, want)
}

// Guards against rejections that are lost with the nodes: the store keeps them, also if it was
// away when they were found.
func TestRejectionsAreStored(t *testing.T) {
	clk, store := testlib.NewClock(start), testlib.NewStore()
	reader, writer, second := startNode(t, clk, store, false), startNode(t, clk, store, true), startNode(t, clk, store, true)
	r := traffic.Rejection{Features: []uint64{1, 2}, Until: start.Add(10 * time.Minute)}
	store.SetError(platform.Unavailable)
	reader.reject(r)
	writer.reject(r)
	second.reject(r)
	for range 40 {
		clk.Step(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	store.SetError(nil)
	await(t, clk, writer, r)
	reader.reject()
	writer.reject()
	second.reject()
	await(t, clk, writer)
}

func TestOnlySomeNodesWrite(t *testing.T) {
	clk, store := testlib.NewClock(start), testlib.NewStore()
	n := startNode(t, clk, store, false)
	n.reject(traffic.Rejection{Features: []uint64{1}, Until: start.Add(time.Minute)})
	for range 40 {
		clk.Step(50 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	if _, ok := store.Item(rejectionkeeper.Key); ok {
		t.Error("a node that isn't a writer has written")
	}
}

type storedRejection struct {
	Features []uint64
	UntilMS  int64
}

func TestRejectionsOfProtocolTwo(t *testing.T) {
	value, err := packer.Pack([]storedRejection{{Features: []uint64{1, 1 << 63}, UntilMS: 1_700_000_000_123}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := rejectionkeeper.Decode(platform.Item{Value: testlib.Golden(t, "protocol-2-rejections", value), Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	want := traffic.Rejections{Rejections: []traffic.Rejection{{Features: []uint64{1, 1 << 63}, Until: time.UnixMilli(1_700_000_000_123)}}, Revision: 7}
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, want %+v", *got, want)
	}
}

// Guards against odd records that end a node or reject every request.
func TestOddRejectionsRejectNothing(t *testing.T) {
	long, err := packer.Pack([]storedRejection{{Features: []uint64{1}}, {Features: make([]uint64, 65)}})
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range []string{"", "\xc0", "\x91\xc0", "\x91\x92\x90\x01", "null", "\xdd\xff\xff\xff\xff", string(long)} {
		got, err := rejectionkeeper.Decode(platform.Item{Value: []byte(value), Revision: 7})
		if got == nil || len(got.Rejections) > 0 || got.Revision != 7 {
			t.Errorf("%q: decoded %+v, error %v", value, got, err)
		}
	}
}
