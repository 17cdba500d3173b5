package front_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/node"
	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
)

// fixture is a node in the test process, with one raw upstream that is its engine and its
// service.
type fixture struct {
	addr  string
	up    *testlib.Upstream
	store *kvstore.Store
	log   *logrus.Logger
	lines *logtest.Hook
	stop  func() // ends the node gracefully
}

const (
	load     = `{"incarnation":"a","model":"assistant","version":"v1"}`
	chatBody = `{"model":"assistant","messages":[{"role":"user","content":"x"}]}`
	// streamBody is chatBody as a stream.
	streamBody = `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]}`
)

// newFixture starts a node. script answers all requests but those for load reports.
func newFixture(t *testing.T, limits config.Limits, script testlib.Script) *fixture {
	t.Helper()
	store := kvstore.New(systemclock.New())
	platform := httptest.NewServer(store)
	up := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
		if r.URL.Path == "/load" {
			_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 54\r\n\r\n" + load))
			return err == nil
		}
		return script(conn, r)
	})
	log, lines := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	limits.EntrySeconds = 0.01
	s := config.Settings{
		Name: "n", DataCentre: "dc", Listen: testlib.NewAddress(t), PeerListen: "127.0.0.1:0", PeerSecret: "the secret of the test",
		Platform: platform.URL, Limits: limits,
	}.WithDefaults()
	n, err := node.New(s, systemclock.New(), log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	f := &fixture{addr: s.Listen, up: up, store: store, log: log, lines: lines, stop: func() { cancel(); running.Wait() }}
	t.Cleanup(func() {
		f.stop()
		platform.CloseClientConnections()
		platform.Close()
	})
	f.declare(t, f.declaration())
	return f
}

// declaration returns a declaration with one model and one service.
func (f *fixture) declaration() declare.Declaration {
	return declare.New().WithDataCentre("dc", "r").WithModel("assistant", "v1").WithVM(declare.VM("vm", "dc")).
		WithPool(declare.Pool("p", "assistant", "v1", config.Interactive)).
		WithService("orders", declare.Once("/commit", config.Interactive), declare.Repeatable("/stock", config.Interactive)).
		WithUpstream(declare.Engine("e", "vm", "http://"+f.up.Addr, "p", 64, true), declare.BackEnd("o", "vm", "http://"+f.up.Addr, "orders", 64)).
		WithWorkspace(declare.Workspace("w", 1, declare.HashKey(testlib.Key)))
}

func (f *fixture) declare(t *testing.T, d declare.Declaration) {
	t.Helper()
	var text bytes.Buffer
	if err := d.Print(&text); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+f.addr+"/v1/declaration", bytes.NewReader(text.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the node did not accept the declaration")
}

// inForce returns how many revisions have come in force.
func (f *fixture) inForce() int {
	n := 0
	for _, e := range f.lines.AllEntries() {
		if e.Data["event"] == "configInForce" {
			n++
		}
	}
	return n
}

// await waits until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
