package main

import (
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
)

const (
	hangNodes       = 4
	hangServers     = 4  // of the plain service
	hangEngines     = 18 // model engines, which are only registered
	hangCallers     = 24 // at each node
	hangTime        = 90 * time.Second
	routeTimeout    = time.Second
	answerSlack     = 500 * time.Millisecond // after timeout-ms, in the rule
	callerTimeout   = 3 * time.Second
	lookupWork      = 5 * time.Millisecond
	lookupPause     = 25 * time.Millisecond
	minUnanswered   = 8 // of the rule
	namedRate       = 1200.0
	namedRateSpread = 40
	// unusedAddress is the address of servers to which no request goes.
	unusedAddress = "127.0.0.1:9"
)

// late counts, for one node, what the rule counts.
type late struct{ unanswered, stillUnanswered int }

func (l late) isBroken() bool {
	return l.unanswered >= minUnanswered && 2*l.stillUnanswered > l.unanswered
}

// caseHang: servers in need name the requests a second that they take, a number that
// follows their load.
func caseHang(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.op.Configure(lookupCatalog(1)); err != nil {
		return false, err
	}
	for i := range hangServers {
		s := &server{id: "i-app-" + strconv.Itoa(i), rec: rec, work: lookupWork}
		if trouble {
			s.respond = func(h http.Header) {
				rate := namedRate + float64(s.runs.Load()%namedRateSpread)
				h.Set("Server-Limit", strconv.FormatFloat(rate, 'f', 1, 64))
			}
		}
		if err := f.addServer(s, "workshop-app", "zone-aba"); err != nil {
			return false, err
		}
	}
	for i := range hangEngines {
		u := &traffic.Upstream{
			ID: "i-llm-" + strconv.Itoa(i), StartedMS: time.Now().UnixMilli(), Service: "loom-models", Address: unusedAddress,
			DataCentre: "zone-aba", Slots: 64, Models: map[string]int{"loom": 1},
		}
		if err := f.register(u); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	defer close(done)
	go f.heartbeats(done)
	if err := f.addNodes(hangNodes); err != nil {
		return false, err
	}
	counts := make([]late, len(f.nodes))
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(hangTime)
	hung := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range counts {
			if c.isBroken() {
				return true
			}
		}
		return false
	}
	for i, n := range f.nodes {
		for range hangCallers {
			wg.Go(func() {
				c := &caller{node: n.settings.CallerListen}
				defer c.close()
				for time.Now().Before(end) && !hung() {
					r := &client.Request{ID: newID(), Method: http.MethodGet, Host: host, Target: "/stock/" + strconv.Itoa(i), APIKey: "key-a", Timeout: callerTimeout}
					sent := time.Now()
					resp, err := c.call(r, routeTimeout+answerSlack)
					took := time.Since(sent)
					rec.add("%s to %s: status %d after %d ms%s", r.ID, n.settings.Name, resp.Status, took.Milliseconds(), suffix(err))
					mu.Lock()
					if took > routeTimeout {
						counts[i].unanswered++
						if err != nil {
							counts[i].stillUnanswered++
						}
					}
					mu.Unlock()
					time.Sleep(lookupPause)
				}
			})
		}
	}
	wg.Wait()
	isBroken := false
	for i, n := range f.nodes {
		c := counts[i]
		rec.say("%s: %d requests unanswered at timeout-ms, %d of them still unanswered 0.5 s later; ready: %t",
			n.settings.Name, c.unanswered, c.stillUnanswered, client.Ready(n.settings.ReadyListen, time.Second))
		if c.isBroken() {
			isBroken = true
			n.recordStacks(rec, "recordRate", "publish(")
		}
	}
	return isBroken, nil
}

// recordStacks ends a node and records the stacks of its goroutines that hold one of the
// names.
func (n *node) recordStacks(rec *record, names ...string) {
	n.signal(syscall.SIGQUIT)
	select {
	case <-n.exited:
	case <-time.After(exitTimeout):
		return
	}
	out, err := os.ReadFile(n.log)
	if err != nil {
		return
	}
	recorded := map[string]bool{}
	for _, stack := range strings.Split(string(out), "\n\n") {
		for _, name := range names {
			if !recorded[name] && strings.HasPrefix(stack, "goroutine ") && strings.Contains(stack, name) {
				recorded[name] = true
				rec.add("%s, a goroutine in %s:\n%s", n.settings.Name, name, withoutFiles(stack))
			}
		}
	}
}

// withoutFiles returns a stack without its lines that name files.
func withoutFiles(stack string) string {
	lines := slices.DeleteFunc(strings.Split(stack, "\n"), func(l string) bool { return strings.HasPrefix(l, "\t") })
	return strings.Join(lines, "\n")
}

// lookupCatalog is a configuration with a route for lookups.
func lookupCatalog(version uint64) *traffic.Catalog {
	return &traffic.Catalog{
		Version: version,
		Routes: []traffic.Route{{
			Name: "fabric-lookup", Host: host, Prefix: "/stock/", Kind: traffic.Safe, Targets: []traffic.Target{{Service: "workshop-app", Weight: 1}},
			MaxAttempts: 2, Timeout: routeTimeout, LatencyObjective: 150 * time.Millisecond, Priority: 2,
		}},
		Services:   []traffic.Service{{Name: "workshop-app", HealthPath: "/health", MaxConnections: 110}},
		Workspaces: []traffic.Workspace{{Name: "tenant-a", Keys: []string{"key-a"}}},
		Limits:     traffic.Limits{HeaderBytes: 32 << 10, BodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second},
	}
}
