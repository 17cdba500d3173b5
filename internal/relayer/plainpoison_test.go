package relayer_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// deadlyCallers is a pattern of requests that crash upstreams, without prompts.
type deadlyCallers struct {
	keys, queries int // how many the deadly requests take turns with
	soundEvery    int // deadly requests for each sound one
	// oneQuery is set if it is the query that is deadly, and sound requests differ from the
	// deadly one in nothing else.
	oneQuery bool
}

// Guards against BUDGET: one deadly request without a prompt reached upstreams again and again,
// since with each key of its caller, and with each query, it was another request.
func TestPlainPoisonRequestStopsReachingEngines(t *testing.T) {
	for name, c := range map[string]deadlyCallers{
		"one key":                         {keys: 1, queries: 1, soundEvery: 1},
		"twelve keys":                     {keys: 12, queries: 1, soundEvery: 1},
		"twelve queries":                  {keys: 1, queries: 12, soundEvery: 1},
		"keys and queries":                {keys: 3, queries: 4, soundEvery: 1},
		"one query of a path":             {keys: 12, soundEvery: 1, oneQuery: true},
		"one query, few sound requests":   {keys: 12, soundEvery: 5, oneQuery: true},
		"one key, few sound requests":     {keys: 1, queries: 1, soundEvery: 5},
		"twelve keys, few sound requests": {keys: 12, queries: 1, soundEvery: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testPlainPoison(t, c)
		})
	}
}

func testPlainPoison(t *testing.T, c deadlyCallers) {
	t.Helper()
	const requests = 150
	f := newPlainFixture(t, 12, 12)
	rejected, lastRun := 0, 0
	for i := range requests {
		deadly, sound, body := "/unsafe/any?deadly", fmt.Sprint("/unsafe/any?", i), "body"
		if !c.oneQuery {
			deadly, sound, body = fmt.Sprint("/unsafe/deadly?", i%c.queries), "/unsafe/sound?0", fmt.Sprint("body", i)
		}
		r := f.send(fmt.Sprint("key", i%c.keys), deadly, "body")
		switch r.kind {
		case failure.Quarantined:
			rejected++
		case failure.OutcomeUnknown:
			lastRun = i
		}
		f.relay.TakeReport() // as the node does before each message to its peers
		if i%c.soundEvery == 0 {
			if r := f.send("key0", sound, body); r.kind == failure.Quarantined {
				t.Fatal("a sound request was rejected")
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if rejected < requests/4 || lastRun > 3*requests/4 {
		t.Errorf("%d of %d deadly requests were rejected, the last one ran as number %d", rejected, requests, lastRun)
	}
}

// newPlainFixture returns a judging relayer whose workspace has the given number of keys, and
// whose upstreams reset the connections of requests with "deadly" in their URL.
func newPlainFixture(t *testing.T, upstreams, keys int) *fixture {
	t.Helper()
	scripts := make([]testlib.Script, upstreams)
	for i := range scripts {
		scripts[i] = func(conn net.Conn, r testlib.Received) bool {
			if strings.Contains(r.URL.String(), "deadly") {
				testlib.Reset(conn)
				return false
			}
			return ok(conn, r)
		}
	}
	f := newFixture(t, scripts...)
	var names []string
	for i := range keys {
		names = append(names, fmt.Sprint("key", i))
	}
	f.fleet.set(catalog(1, names...), f.boot.Elapsed())
	f.relay.SetJudge(true)
	return f
}

// send sends a request without a prompt.
func (b *fixture) send(key, target, body string) *reply {
	r := &reply{}
	path, _, _ := strings.Cut(target, "?")
	b.relay.Serve(context.Background(), &relayer.Request{
		ID: "id", Method: "POST", Target: target, Path: path, Host: "h", Key: key, Body: []byte(body),
		Timeout: 2 * time.Second, Arrived: time.Now(),
	}, r)
	return r
}
