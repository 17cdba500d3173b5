package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/standin/engine"
	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/standin/plainservice"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "auburnnotch-test-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	if err := testlib.Build(context.Background(), "../..", dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const poisonText = "crash the engine"

// deployment is a fleet of entry processes. Its stand-ins run in the test process,
// where a test can inject faults into them.
type deployment struct {
	*testlib.Fleet
	t       testing.TB
	ctx     context.Context
	store   *kvstore.Store
	engines []*engine.Engine
	service *plainservice.Service
	output  *raceLog
}

func deploy(t testing.TB, engines, nodes int) *deployment {
	t.Helper()
	return deployWithLimits(t, engines, nodes, config.Limits{EntrySeconds: 0.5, ChunkSeconds: 0.5, FirstByteSeconds: 1})
}

func deployWithLimits(t testing.TB, engines, nodes int, limits config.Limits) *deployment {
	t.Helper()
	clk := systemclock.New()
	d := &deployment{t: t, store: kvstore.New(clk), service: plainservice.New(clk)}
	races := &raceLog{t: t}
	t.Cleanup(races.check)
	d.Fleet, d.output = testlib.NewFleet(binDir, races), races
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	d.ctx = ctx
	d.Dir = t.TempDir()
	d.Limits = limits
	d.Platform, d.Service = d.listen(d.store), d.listen(d.service)
	for i := range engines {
		e := engine.New(engine.Options{
			Name: fmt.Sprint("engine-", i+1), Model: "assistant", Version: "v1", Slots: 64, CachePieces: 512, PieceBytes: 8192,
			PieceTime: 2 * time.Millisecond, TokenTime: 10 * time.Millisecond, ChecksFencing: i%2 == 0, PoisonText: poisonText,
		}, clk)
		d.engines = append(d.engines, e)
		d.Engines = append(d.Engines, d.listen(e))
	}
	t.Cleanup(d.Stop)
	if err := d.StartNodes(nodes); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Apply(d.Declaration()); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *deployment) listen(h http.Handler) string {
	s := httptest.NewServer(h)
	d.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

func (d *deployment) caller(node int) *testlib.Caller {
	return testlib.NewCaller(d.Nodes[node].Addr)
}

func (d *deployment) placeOrder(node int, key, body string) testlib.Response {
	d.t.Helper()
	h := http.Header{}
	if key != "" {
		h.Set(wire.HeaderIdempotencyKey, key)
	}
	r, err := d.caller(node).Call(d.ctx, "/v1/services/orders/commit", []byte(body), h)
	if err != nil {
		d.t.Fatal(err)
	}
	return r
}

// raceLog receives the output of the processes. Its check fails the test if a
// process reported a data race.
type raceLog struct {
	t     testing.TB
	mu    sync.Mutex
	lines []string
}

func (l *raceLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > 0 || strings.Contains(string(b), "DATA RACE") {
		l.lines = append(l.lines, string(b))
	}
	if testing.Verbose() {
		return os.Stderr.Write(b)
	}
	return len(b), nil
}

func (l *raceLog) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) > 0 {
		l.t.Errorf("a process reported a data race:\n%s", strings.Join(l.lines[:min(len(l.lines), 60)], ""))
	}
}

// requireComplete fails the test unless r is the complete response to chat.
func (d *deployment) requireComplete(r testlib.Response, err error, chat testlib.Chat) {
	d.t.Helper()
	if want := engine.Completion(chat.MessagesJSON(), chat.MaxTokens); err != nil || r.Text != want || !r.Complete {
		d.t.Fatalf("status %d, complete %t, error %v %+v\n got %q\nwant %q", r.Status, r.Complete, err, r.Error, r.Text, want)
	}
}

func TestOrderRunsOnceAcrossEntries(t *testing.T) {
	d := deploy(t, 1, 3)
	first := d.placeOrder(0, "k1", "forty flags")
	second := d.placeOrder(1, "k1", "forty flags")
	if first.Status != http.StatusOK || second.Body != first.Body {
		t.Errorf("first %d %q, second %d %q", first.Status, first.Body, second.Status, second.Body)
	}
	for name, c := range map[string]struct {
		key, body string
		status    int
	}{
		"different body for the same key": {"k1", "fifty flags", http.StatusUnprocessableEntity},
		"no key":                          {"", "forty flags", http.StatusBadRequest},
	} {
		if r := d.placeOrder(2, c.key, c.body); r.Status != c.status || !r.Error.NotRun {
			t.Errorf("%s: status %d %+v", name, r.Status, r.Error)
		}
	}
	if n := len(d.service.Runs()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestOrderWithLostResponseRunsOnce(t *testing.T) {
	d := deploy(t, 1, 2)
	d.service.SetFaults(plainservice.Faults{BreakAfterRun: true})
	for node := range 2 {
		if r := d.placeOrder(node, "k1", "x"); !r.Error.OutcomeUnknown {
			t.Errorf("entry %d: status %d, body error %+v, want outcomeUnknown", node, r.Status, r.Error)
		}
	}
	if n := len(d.service.Runs()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

func TestSafeRequestIsRetriedAfterSilentConnection(t *testing.T) {
	d := deploy(t, 1, 1)
	d.service.SetFaults(plainservice.Faults{Silent: 1})
	h := http.Header{wire.HeaderDeadline: {"50"}}
	r, err := d.caller(0).Call(d.ctx, "/v1/services/orders/stock", []byte("red twill"), h)
	if err != nil || r.Status != http.StatusOK {
		t.Errorf("status %d, body error %+v, error %v", r.Status, r.Error, err)
	}
}

func TestInvalidRequestsAreNotRun(t *testing.T) {
	d := deploy(t, 1, 1)
	before := d.engines[0].Runs()
	const chat = "/v1/chat/completions"
	for name, c := range map[string]struct {
		path, body, key string
		header          http.Header
		status          int
		want            string
	}{
		"malformed JSON":   {chat, `{"model": "assistant", "messages": [`, testlib.Key, nil, 400, "no valid JSON"},
		"text after JSON":  {chat, `{"model": "assistant", "messages": []} x`, testlib.Key, nil, 400, "no valid JSON"},
		"wrong type":       {chat, `{"model": 3}`, testlib.Key, nil, 400, "no valid JSON of a completion"},
		"no messages":      {chat, `{"model": "assistant"}`, testlib.Key, nil, 400, "messages: is missing"},
		"unknown model":    {chat, `{"model": "none", "messages": []}`, testlib.Key, nil, 404, "model: \"none\" is not declared"},
		"unknown key":      {chat, `{"model": "assistant", "messages": []}`, "guess", nil, 401, "declared workspace"},
		"oversized body":   {chat, strings.Repeat("x", 5<<20), testlib.Key, nil, 413, "is the limit"},
		"bad class":        {chat, `{"model": "assistant", "messages": []}`, testlib.Key, http.Header{wire.HeaderClass: {"fast"}}, 400, "X-Class"},
		"bad deadline":     {chat, `{"model": "assistant", "messages": []}`, testlib.Key, http.Header{wire.HeaderDeadline: {"-1"}}, 400, "X-Deadline-Seconds"},
		"unknown route":    {"/v1/services/orders/none", "x", testlib.Key, nil, 404, "no route"},
		"unknown path":     {"/v2/other", "x", testlib.Key, nil, 404, "no such path"},
		"no idempotency":   {"/v1/services/orders/commit", "x", testlib.Key, nil, 400, "Idempotency-Key"},
		"foreign event ID": {chat, `{"model": "assistant", "stream": true, "messages": []}`, testlib.Key, http.Header{wire.HeaderLastEventID: {"a~b~c~d~1"}}, 400, "Last-Event-ID"},
	} {
		t.Run(name, func(t *testing.T) {
			caller := d.caller(0)
			caller.Key = c.key
			r, err := caller.Call(d.ctx, c.path, []byte(c.body), c.header)
			if err != nil || r.Status != c.status || !r.Error.NotRun || !strings.Contains(r.Error.Message, c.want) {
				t.Errorf("error %v, status %d, body error %+v", err, r.Status, r.Error)
			}
		})
	}
	if n := d.engines[0].Runs() - before + len(d.service.Runs()); n != 0 {
		t.Errorf("%d invalid requests were run", n)
	}
}

func TestRefusedOrderCanBeRetried(t *testing.T) {
	d := deploy(t, 1, 2)
	d.service.SetFaults(plainservice.Faults{Refuse: true})
	if r := d.placeOrder(0, "k1", "x"); !r.Error.NotRun {
		t.Errorf("status %d, body error %+v, want notRun", r.Status, r.Error)
	}
	d.service.SetFaults(plainservice.Faults{})
	if r := d.placeOrder(1, "k1", "x"); r.Status != http.StatusOK {
		t.Errorf("after the refusal: status %d, body error %+v", r.Status, r.Error)
	}
}

func TestPlatformDown(t *testing.T) {
	d := deploy(t, 2, 2)
	d.store.SetFaults(kvstore.Faults{Down: true})
	if r := d.placeOrder(0, "k1", "x"); r.Error.Kind != "platformDown" || !r.Error.NotRun {
		t.Errorf("order: status %d, body error %+v", r.Status, r.Error)
	}
	chat := testlib.NewChat("shared", "question", 5)
	r, err := d.caller(0).Chat(d.ctx, chat, nil)
	d.requireComplete(r, err, chat)
	if err := d.Nodes[1].Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	_ = d.Nodes[1].Wait()
	if err := d.Restart(1); err != nil {
		t.Fatal(err)
	}
	d.eventually(func() bool {
		r, err := d.caller(1).Chat(d.ctx, chat, nil)
		return err == nil && r.Complete
	})
	for _, n := range d.Nodes {
		_ = n.Signal(syscall.SIGKILL)
		_ = n.Wait()
	}
	for i := range d.Nodes {
		if err := d.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	r, err = d.caller(0).Chat(d.ctx, chat, nil)
	if err != nil || !r.Error.NotRun {
		t.Errorf("after a restart of every entry: status %d, body error %+v, error %v, want notRun", r.Status, r.Error, err)
	}
	if n := len(d.service.Runs()); n != 0 {
		t.Errorf("%d runs, want 0", n)
	}
	d.store.SetFaults(kvstore.Faults{})
	d.eventually(func() bool {
		r, err := d.caller(0).Chat(d.ctx, chat, nil)
		return err == nil && r.Complete
	})
}

// eventually waits until ok returns true. It fails the test at the deadline of
// d.ctx.
func (d *deployment) eventually(ok func() bool) {
	d.t.Helper()
	for !ok() {
		select {
		case <-d.ctx.Done():
			d.t.Fatal("the condition was not met before the deadline of the test")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestStreamsUnderEngineFaults(t *testing.T) {
	d := deploy(t, 2, 1)
	for name, f := range map[string]engine.Faults{
		"none": {}, "cut": {CutAfter: 3, Times: 1}, "cut twice": {CutAfter: 3, Times: 2},
		"truncated": {CutAfter: 3, Truncate: true, Times: 1}, "duplicate chunks": {Duplicate: true, Times: 1},
		"silent for good": {SilentAfter: 2, Times: 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 2, 1) // no circuit breaker is open because of other cases
			for _, e := range d.engines {
				e.SetFaults(f)
			}
			chat := testlib.NewChat("shared", name, 12)
			r, err := d.caller(0).Chat(d.ctx, chat, nil)
			d.requireComplete(r, err, chat)
		})
	}
	t.Run("refused by one", func(t *testing.T) {
		d := deploy(t, 2, 1) // no circuit breaker is open because of other cases
		d.engines[0].SetFaults(engine.Faults{Refuse: true})
		for i := range 6 {
			chat := testlib.NewChat(fmt.Sprint("prefix ", i), "refused", 4)
			r, err := d.caller(0).Chat(d.ctx, chat, nil)
			d.requireComplete(r, err, chat)
		}
	})
	t.Run("crash mid-stream", func(t *testing.T) {
		chat := testlib.NewChat("shared", "crash", 30)
		c, tokens := d.caller(0), 0
		c.OnToken = func(string) error {
			if tokens++; tokens == 5 {
				for _, e := range d.engines {
					e.Crash()
				}
			}
			return nil
		}
		r, err := c.Chat(d.ctx, chat, nil)
		d.requireComplete(r, err, chat)
	})
}

var errStop = errors.New("stop reading")

// Guards against callers that wait for ever: an engine that had stalled kept its stream
// open with comments, so that no other engine went on with it.
func TestStalledStreamOfCommentsIsContinuedElsewhere(t *testing.T) {
	d := deploy(t, 2, 1)
	for _, e := range d.engines {
		e.SetFaults(engine.Faults{StallAfter: 3, Times: 1})
	}
	ctx, cancel := context.WithTimeout(d.ctx, 15*time.Second)
	defer cancel()
	chat := testlib.NewChat("shared", "stalled", 12)
	r, err := d.caller(0).Chat(ctx, chat, nil)
	d.requireComplete(r, err, chat)
}

func TestCallerResumesAtAnotherEntry(t *testing.T) {
	d := deploy(t, 2, 2)
	chat := testlib.NewChat("shared", "resume", 40)
	c, tokens := d.caller(0), 0
	c.OnToken = func(string) error {
		if tokens++; tokens == 7 {
			_ = d.Nodes[0].Signal(syscall.SIGKILL)
			return errStop
		}
		return nil
	}
	first, err := c.Chat(d.ctx, chat, nil)
	if !errors.Is(err, errStop) {
		t.Fatalf("error %v, want that of the caller that stops reading", err)
	}
	second, err := d.caller(1).Chat(d.ctx, chat, http.Header{wire.HeaderLastEventID: {first.LastEventID}})
	if err != nil || !second.Complete {
		t.Fatalf("resumed stream: status %d, body error %+v, error %v", second.Status, second.Error, err)
	}
	if got, want := first.Text+second.Text, engine.Completion(chat.MessagesJSON(), chat.MaxTokens); got != want {
		t.Errorf("joined %q\nwant   %q", got, want)
	}
	forged := strings.Replace(first.LastEventID, "~", "~x", 1)
	if r, err := d.caller(1).Chat(d.ctx, chat, http.Header{wire.HeaderLastEventID: {forged}}); err != nil || r.Status != http.StatusBadRequest {
		t.Errorf("forged event ID: status %d, error %v", r.Status, err)
	}
}

func TestGracefulShutdownFinishesStreams(t *testing.T) {
	d := deploy(t, 1, 2)
	chat := testlib.NewChat("shared", "stop", 100)
	c, tokens := d.caller(0), 0
	c.OnToken = func(string) error {
		if tokens++; tokens == 3 {
			return d.Nodes[0].Signal(syscall.SIGTERM)
		}
		return nil
	}
	r, err := c.Chat(d.ctx, chat, nil)
	d.requireComplete(r, err, chat)
	if err := d.Nodes[0].Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards against streams without an end: their end mark was written within the time
// limit of their last chunk, which had passed after a pause.
func TestStreamMayPauseBeforeItsEnd(t *testing.T) {
	const writeSeconds = 0.2
	d := deployWithLimits(t, 1, 1, config.Limits{EntrySeconds: 0.5, ChunkSeconds: 5, FirstByteSeconds: 5, WriteSeconds: writeSeconds})
	d.engines[0].SetFaults(engine.Faults{EndPause: 3 * config.Seconds(writeSeconds), Times: 1})
	chat := testlib.NewChat("shared", "pause", 4)
	r, err := d.caller(0).Chat(d.ctx, chat, nil)
	d.requireComplete(r, err, chat)
}

// Guards against answers that stay in memory: a caller that didn't read its answer kept it
// for as long as its connection lasted.
func TestCallerThatDoesNotReadItsAnswerIsGivenUp(t *testing.T) {
	const writeSeconds = 0.5
	d := deployWithLimits(t, 1, 1, config.Limits{EntrySeconds: 0.5, ChunkSeconds: 5, FirstByteSeconds: 5, WriteSeconds: writeSeconds, BodyBytes: 32 << 20})
	conn, err := net.Dial("tcp4", d.Nodes[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("a", 16<<20) // more than sockets buffer; the service echoes it
	_, err = fmt.Fprintf(conn, "POST /v1/services/orders/stock HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testlib.Key, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	d.eventually(func() bool { return len(d.service.Runs()) == 1 })
	time.Sleep(6 * config.Seconds(writeSeconds))
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, conn); n >= int64(len(body)) || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("caller could still read %d bytes after 3 s, %v", n, err)
	}
}

// Guards against a node that stands still as soon as nobody reads its log: each request
// waited for its line to be written.
func TestNodeWithBlockedLogServes(t *testing.T) {
	d := deploy(t, 1, 1)
	const requests = 2000 // their lines take several times what a pipe holds
	d.output.mu.Lock()    // blocks the reader of the node's pipe
	defer d.output.mu.Unlock()
	c := &http.Client{Timeout: 5 * time.Second}
	for i := range requests {
		resp, err := c.Get("http://" + d.Nodes[0].Addr + "/none")
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Fatalf("request %d: status %d", i, resp.StatusCode)
		}
	}
}

func TestEntryServesAfterProcessPause(t *testing.T) {
	d := deploy(t, 1, 2)
	if err := d.Nodes[0].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	chat := testlib.NewChat("shared", "paused", 5)
	r, err := d.caller(1).Chat(d.ctx, chat, nil)
	d.requireComplete(r, err, chat)
	if _, err := d.RunCommand("drain", "--node", d.Nodes[1].Addr, "--at", "2099-01-01T00:00:00Z", "vm-1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2500 * time.Millisecond) // longer than the shortest pause that an entry detects
	if err := d.Nodes[0].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	r, err = d.caller(0).Chat(d.ctx, chat, nil)
	d.requireComplete(r, err, chat)
	d.eventually(func() bool {
		out, err := d.RunCommand("status", "--json", "--node", d.Nodes[0].Addr)
		return err == nil && strings.Contains(out, `"revision": 2`)
	})
}

// Guards against a node that a hangup ended without its graceful shutdown, for instance when
// the shell that had started it ended while the node was paused.
func TestHangupDoesNotEndNode(t *testing.T) {
	d := deploy(t, 1, 1)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGHUP, syscall.SIGCONT} {
		if err := d.Nodes[0].Signal(s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	chat := testlib.NewChat("shared", "after the hangup", 5)
	r, err := d.caller(0).Chat(d.ctx, chat, nil)
	d.requireComplete(r, err, chat)
}

func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	d := deploy(t, 4, 3)
	harmless := testlib.NewChat("shared", "innocent", 60)
	done := make(chan error, 2)
	for node := range 2 {
		go func() {
			r, err := d.caller(node).Chat(d.ctx, harmless, nil)
			if err == nil && r.Text != engine.Completion(harmless.MessagesJSON(), harmless.MaxTokens) {
				err = errors.Errorf("harmless request: %d %+v %q", r.Status, r.Error, r.Text)
			}
			done <- err
		}()
	}
	bad := testlib.NewChat("shared", poisonText, 5)
	for i := range 6 {
		r, err := d.caller(i%3).Chat(d.ctx, bad, nil)
		if err != nil || r.Status == http.StatusOK {
			t.Errorf("poison request %d: status %d, error %v", i, r.Status, err)
		}
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	crashes := 0
	for _, e := range d.engines {
		crashes += e.Crashes()
	}
	if crashes > 2 {
		t.Errorf("%d engines crashed, want at most 2", crashes)
	}
}

// Each entry may start the request before it hears of the first crash.
func TestPoisonRequestSentToAllEntriesAtOnce(t *testing.T) {
	const engines, entries = 7, 3
	d := deploy(t, engines, entries)
	bad := testlib.NewChat("shared", poisonText, 5)
	for range 4 {
		errs := make(chan error, entries)
		for node := range entries {
			go func() {
				r, err := d.caller(node).Chat(d.ctx, bad, nil)
				if err == nil && r.Status == http.StatusOK {
					err = errors.New("a poison request succeeded")
				}
				errs <- err
			}()
		}
		for range entries {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
	}
	crashes := 0
	for _, e := range d.engines {
		crashes += e.Crashes()
	}
	if crashes == 0 || crashes > 2+entries {
		t.Errorf("%d engines crashed, want at most %d", crashes, 2+entries)
	}
	if r, err := d.caller(0).Chat(d.ctx, testlib.NewChat("shared", "innocent", 5), nil); err != nil || r.Status != http.StatusOK {
		t.Errorf("a sound request afterwards: status %d, error %v", r.Status, err)
	}
}

func TestConfiguration(t *testing.T) {
	d := deploy(t, 1, 3)
	old := map[string]platform.Entry{"config": d.store.Peek("config")}
	if _, err := d.RunCommand("apply", "--node", d.Nodes[0].Addr, "--base", "7", d.Dir+"/declaration.json"); err == nil {
		t.Error("an apply with a wrong base revision was accepted")
	}
	if err := os.WriteFile(d.Dir+"/bad.json", []byte(`{"models": [{"nam": "x"}], // comment
		"pools": 3}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := d.RunCommand("apply", "--node", d.Nodes[0].Addr, d.Dir+"/bad.json"); err == nil || !strings.Contains(out, "bad.json:1: models[0].nam: unknown field") || !strings.Contains(out, "bad.json:2: pools: is 3") {
		t.Errorf("apply of an invalid file: %v %s", err, out)
	}
	results := make(chan error, 4)
	for i := range cap(results) {
		go func() {
			_, err := d.RunCommand("apply", "--node", d.Nodes[i%3].Addr, "--base", "1", d.Dir+"/declaration.json")
			results <- err
		}()
	}
	won := 0
	for range cap(results) {
		if <-results == nil {
			won++
		}
	}
	if won != 1 {
		t.Errorf("%d concurrent applies succeeded, want 1", won)
	}
	d.store.Rollback(old)
	d.eventually(func() bool { return strings.Contains(string(d.store.Peek("config").Value), `"revision":2`) })
	for _, n := range d.Nodes {
		out, err := d.RunCommand("status", "--json", "--node", n.Addr)
		if err != nil || !strings.Contains(out, `"revision": 2,`) || !strings.Contains(out, `"inForce": 3`) {
			t.Errorf("%s: %v %s", n.Name, err, out)
		}
	}
	d.store.SetFaults(kvstore.Faults{DropResponses: true})
	if out, err := d.RunCommand("apply", "--node", d.Nodes[2].Addr, d.Dir+"/declaration.json"); err != nil || !strings.Contains(out, "revision 3 accepted") {
		t.Errorf("apply with a lost reply: %v %s", err, out)
	}
}

func TestOrdersApplyDeclarationToEngines(t *testing.T) {
	d := deploy(t, 2, 2)
	next := d.Declaration().WithModel("assistant-2", "v7").WithPool(declare.Pool("second", "assistant-2", "v7", config.Standard)).
		WithVM(declare.VM("vm-new", "dc-1"))
	extra := engine.New(engine.Options{Slots: 4, PieceBytes: 8192, ChecksFencing: true}, systemclock.New())
	next = next.WithUpstream(declare.Engine("engine-new", "vm-new", "http://"+d.listen(extra), "second", 4, true))
	if _, err := d.Apply(next); err != nil {
		t.Fatal(err)
	}
	d.eventually(func() bool { return len(extra.Orders()) > 0 })
	if o := extra.Orders()[0]; o.Kind != wire.OrderLoad || o.Model != "assistant-2" || o.Version != "v7" || o.FencingToken == 0 {
		t.Errorf("order %+v", o)
	}
	out, err := d.RunCommand("plan", "--node", d.Nodes[0].Addr)
	if err != nil || !strings.Contains(out, "pool second") {
		t.Errorf("plan: %v %s", err, out)
	}
	if _, err := d.RunCommand("drain", "--node", d.Nodes[0].Addr, "--at", "2099-01-01T00:00:00Z", "--from", "2020-01-01T00:00:00Z", "vm-1"); err != nil {
		t.Fatal(err)
	}
	d.eventually(func() bool {
		orders := d.engines[0].Orders()
		return len(orders) > 0 && orders[len(orders)-1].Kind == wire.OrderDrain
	})
}

func TestDrainingVMGetsNoNewRequests(t *testing.T) {
	d := deploy(t, 2, 2)
	chat := testlib.NewChat("shared", "leave", 4)
	if _, err := d.RunCommand("drain", "--node", d.Nodes[0].Addr, "--at", "2099-01-01T00:00:00Z", "--from", "2020-01-01T00:00:00Z", "vm-1"); err != nil {
		t.Fatal(err)
	}
	d.eventually(func() bool {
		out, err := d.RunCommand("status", "--json", "--node", d.Nodes[1].Addr)
		return err == nil && strings.Contains(out, `"inForce": 2`) && strings.Contains(out, `"revision": 2`)
	})
	before := d.engines[0].Runs()
	for node := range 2 {
		r, err := d.caller(node).Chat(d.ctx, chat, nil)
		d.requireComplete(r, err, chat)
	}
	if n := d.engines[0].Runs() - before; n != 0 {
		t.Errorf("%d requests went to the draining VM", n)
	}
}

func TestTimestampedIdempotencyKeys(t *testing.T) {
	d := deploy(t, 1, 2)
	kept := d.Declaration().WithService("dated", config.Route{Path: "/commit", KeepDays: 1}).
		WithUpstream(declare.BackEnd("dated-1", "vm-service", "http://"+d.Service, "dated", 16))
	if _, err := d.Apply(kept); err != nil {
		t.Fatal(err)
	}
	placeOrder := func(node int, key string) testlib.Response {
		r, err := d.caller(node).Call(d.ctx, "/v1/services/dated/commit", []byte("x"), http.Header{wire.HeaderIdempotencyKey: {key}})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	fresh, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	first, second := placeOrder(0, fresh.String()), placeOrder(1, fresh.String())
	if first.Status != http.StatusOK || second.Body != first.Body {
		t.Errorf("first %d %q, second %d %q", first.Status, first.Body, second.Status, second.Body)
	}
	if r := placeOrder(0, "order-1"); r.Status != http.StatusBadRequest || !r.Error.NotRun {
		t.Errorf("key without a timestamp: status %d, body error %+v", r.Status, r.Error)
	}
	if r := placeOrder(0, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); r.Error.Kind != "idempotencyKeyExpired" || r.Error.NotRun {
		t.Errorf("key with a timestamp of 2022: status %d, body error %+v", r.Status, r.Error)
	}
	if _, err := d.Apply(d.Declaration().WithService("dated", config.Route{Path: "/commit", KeepDays: 2}).
		WithUpstream(declare.BackEnd("dated-1", "vm-service", "http://"+d.Service, "dated", 16))); err == nil {
		t.Error("an apply that raises keepDays was accepted")
	}
	if n := len(d.service.Runs()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}
