package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
)

// freezeLead is the time from the freeze of a node to the first caller that leaves.
const freezeLead = 50 * time.Millisecond

// leaveWhileFrozen freezes a node. Callers send it whole requests meanwhile, and leave.
func (s *Soaker) leaveWhileFrozen(ctx context.Context, f planner.CallersLeave) {
	n := s.nodes[f.Node]
	disturbance := s.beginDisturbance(checker.Disturbance{Node: n.index})
	s.signal(n, syscall.SIGSTOP)
	clock.Sleep(ctx, s.clk, freezeLead)
	all := routes(false)
	for i := range f.Callers {
		s.sendAndLeave(n, all[i%(len(all)-1)], fmt.Sprintf("%d-left-%d-%d", s.settings.Seed, f.Node, i))
	}
	clock.Sleep(ctx, s.clk, f.For)
	s.signal(n, syscall.SIGCONT)
	s.endDisturbance(disturbance)
}

// sendAndLeave sends a request on a connection of its own and closes that.
func (s *Soaker) sendAndLeave(n *node, r route, id string) {
	conn, err := client.Dial(n.callerAddr(), dialTimeout)
	if err != nil {
		return // the node is down
	}
	defer conn.Close()
	req := &client.Request{ID: id, Method: r.method, Host: host, Target: r.Prefix + id, APIKey: key(0), Timeout: responseTimeout}
	if r.method != http.MethodGet {
		req.Body = []byte(strings.Repeat(id, 4))
	}
	if r.Kind == traffic.Streaming {
		req.Model, req.Tokens, req.Parts = model, 500, []string{"a1:200", "b0:200", "c" + id + ":100"}
	}
	if conn.Send(req) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Left = append(s.history.Left, checker.Left{ID: id, At: s.clk.Now()})
}
