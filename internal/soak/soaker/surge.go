package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

const (
	// limitedWorkspace has a rate limit, and a key that is never revoked.
	limitedWorkspace, limitedKey = "workspace-limited", "key-limited"
	// surgeCallers is the number of callers that send a surge.
	surgeCallers = 8
)

// declareLimit declares the limit that the surges of a plan exceed. It is in force from the start.
func (s *Soaker) declareLimit(plan []planner.Step) {
	for _, step := range plan {
		if f, ok := step.Fault.(planner.Surge); ok {
			s.history.Limits = []checker.Limit{{Workspace: limitedWorkspace, Rate: f.Rate, Burst: f.Burst}}
		}
	}
}

// limitedWorkspaces returns the workspaces with a limit.
func (s *Soaker) limitedWorkspaces() []traffic.Workspace {
	var out []traffic.Workspace
	for _, l := range s.history.Limits {
		out = append(out, traffic.Workspace{Name: l.Workspace, Keys: []string{limitedKey}, Limit: traffic.RateLimit{Rate: l.Rate, Burst: l.Burst}})
	}
	return out
}

// surge sends more requests for the limited workspace than its limit allows.
func (s *Soaker) surge(ctx context.Context, f planner.Surge) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for i := range surgeCallers {
		rnd := rand.New(rand.NewPCG(s.settings.Seed, uint64(1000+i)))
		c := &caller{s: s, index: 2*s.settings.Callers + i, rnd: rnd, failedAt: map[string]time.Time{}}
		g.Go(func() error {
			until := s.clk.Now().Add(f.For)
			for s.clk.Now().Before(until) && clock.Sleep(ctx, s.clk, surgeCallers*time.Second/time.Duration(f.PerSecond)) {
				if c.conn != nil || c.connect() {
					c.sendLimited()
				}
				if c.sent%20 == 0 {
					c.closeConn() // goes to another node
				}
			}
			c.closeConn()
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
}

// sendLimited sends one request of the limited workspace and records it.
func (c *caller) sendLimited() {
	r := routes(false)[0]
	c.sent++
	id := fmt.Sprintf("%d-%d-%d", c.s.settings.Seed, c.index, c.sent)
	req := &client.Request{ID: id, Method: http.MethodGet, Host: host, Target: r.Prefix + id, APIKey: limitedKey, Timeout: responseTimeout}
	record := checker.Request{
		ID: id, Kind: r.Kind, MaxAttempts: r.MaxAttempts, Node: c.node.index, Incarnation: c.incarnation, Method: req.Method, Target: req.Target,
		Route: r.Prefix, BodyHash: xxhash.Sum64(nil), Workspace: limitedWorkspace, Key: limitedKey, WantBody: upstream.Body(id, req.Target),
	}
	sending := c.exchange(req, &record, func() bool { return false })
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	limit := c.s.declared.leastFactor(record.SentAt.Add(-sending-Bounds().Config), record.EndedAt) * float64(r.Timeout)
	record.Timeout = min(responseTimeout, time.Duration(limit)) - sending // nodes count from the header
	c.s.history.Requests = append(c.s.history.Requests, record)
}
