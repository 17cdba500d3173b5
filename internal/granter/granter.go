// Package granter asks a node that knows the use of limits whether a request is admitted, and
// answers such questions on that node. It is asked for workspaces that ask for more than their
// limit, and for upstreams that limit the rate of their requests.
package granter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// answerTimeout is the timeout for an answer: a round trip between data centres takes 2 to
	// 3 ms, and a small VM may have to wait for its processor.
	answerTimeout = 25 * time.Millisecond
	// skipDuration is how long an aggregator that didn't answer, or couldn't decide, isn't asked.
	skipDuration = 500 * time.Millisecond
	// maxRetryAfterMS is the longest time to return of a valid response. Limiters give 10 s at most.
	maxRetryAfterMS = 60_000
)

// Transport sends datagrams to other nodes and dispatches received ones.
type Transport interface {
	Send(address string, kind broadcaster.Kind, v any) error
	Handle(kind broadcaster.Kind, handler broadcaster.Handler)
}

// Decider decides about the requests of other nodes. ok is false if it can't.
type Decider interface {
	Grant(workspace string, cost float64) (d limiter.Decision, ok bool)
	// GrantUpstream decides about a request to an upstream that limits its requests.
	GrantUpstream(s ratetracker.Statement) (d limiter.Decision, ok bool)
}

type request struct {
	Number    uint64
	Workspace string
	Cost      float64
	// Statement is what the upstream has said, if the request is for one. Nodes have it since
	// ProtocolUpstreamRates.
	Statement ratetracker.Statement
}

type response struct {
	Number       uint64
	Decided, OK  bool
	RetryAfterMS int64
	Level        float64
	Fraction     float64
}

func (r *request) valid() bool { return r.Cost >= 0 && !math.IsInf(r.Cost, 1) }

func (r *response) valid() bool {
	return r.Fraction >= 0 && r.Fraction <= 1 && !math.IsNaN(r.Level) && !math.IsInf(r.Level, 0) &&
		r.RetryAfterMS >= 0 && r.RetryAfterMS <= maxRetryAfterMS
}

// Granter asks and answers. It is safe for concurrent use.
type Granter struct {
	clk       clock.Clock
	self      string
	roster    func() *roster.Roster
	transport Transport
	local     Decider

	mu        sync.Mutex
	last      uint64 // number of the latest request
	waiting   map[uint64]chan response
	skipUntil map[string]time.Time // by node
}

// New returns the Granter of the node with the name self. Attach must be called before it is used.
func New(clk clock.Clock, self string, fleet func() *roster.Roster) *Granter {
	return &Granter{clk: clk, self: self, roster: fleet, waiting: map[uint64]chan response{}, skipUntil: map[string]time.Time{}}
}

// Attach sets the transport and the decider of this node, and registers the handlers.
func (g *Granter) Attach(transport Transport, local Decider) {
	g.transport, g.local = transport, local
	transport.Handle(broadcaster.GrantRequest, g.handleRequest)
	transport.Handle(broadcaster.GrantResponse, g.handleResponse)
}

// Ask returns the decision of the first aggregator that answers. ok is false if none does in time.
func (g *Granter) Ask(ctx context.Context, workspace string, cost float64) (d limiter.Decision, ok bool) {
	aggregators := g.roster().Aggregators()
	for i := range aggregators {
		if g.mayAsk(&aggregators[i]) {
			return g.askNode(ctx, &aggregators[i], request{Workspace: workspace, Cost: cost})
		}
	}
	return limiter.Decision{}, false
}

// AskUpstream returns the decision about a request to an upstream that limits its requests. All
// nodes ask the same aggregator while it answers, and it asks itself. ok is false if none
// answers in time.
func (g *Granter) AskUpstream(ctx context.Context, s ratetracker.Statement) (d limiter.Decision, ok bool) {
	aggregators := g.roster().Aggregators()
	for i := range aggregators {
		switch n := &aggregators[i]; {
		case n.Name == g.self:
			if d, ok = g.local.GrantUpstream(s); ok {
				return d, true
			}
		case n.Protocol >= traffic.ProtocolUpstreamRates && g.mayAsk(n):
			return g.askNode(ctx, n, request{Statement: s})
		}
	}
	return limiter.Decision{}, false
}

// mayAsk reports whether a node understands requests and hasn't failed to decide lately.
func (g *Granter) mayAsk(n *traffic.Node) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.Name != g.self && n.Protocol >= traffic.ProtocolUsage && !g.clk.Now().Before(g.skipUntil[n.Name])
}

func (g *Granter) askNode(ctx context.Context, node *traffic.Node, q request) (d limiter.Decision, ok bool) {
	answers := make(chan response, 1)
	g.mu.Lock()
	g.last++
	number := g.last
	q.Number = number
	g.waiting[number] = answers
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.waiting, number)
	}()
	if err := g.transport.Send(node.Peer, broadcaster.GrantRequest, &q); err != nil {
		g.skip(node.Name)
		return d, false
	}
	select {
	case r := <-answers:
		if !r.Decided {
			g.skip(node.Name)
			return d, false
		}
		d = limiter.Decision{OK: r.OK, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, Level: r.Level, Fraction: r.Fraction}
		return d, true
	case <-g.clk.After(answerTimeout):
		g.skip(node.Name)
	case <-ctx.Done():
	}
	return d, false
}

func (g *Granter) skip(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.skipUntil[node] = g.clk.Now().Add(skipDuration)
}

func (g *Granter) handleRequest(from string, body []byte) error {
	var r request
	if err := packer.New(body).Unpack(&r); err != nil {
		return errors.Annotate(err, "grant request")
	}
	if !r.valid() {
		return errors.NotValidf("grant request of cost %v", r.Cost)
	}
	var d limiter.Decision
	var ok bool
	if r.Statement.Upstream != 0 {
		d, ok = g.local.GrantUpstream(r.Statement)
	} else {
		d, ok = g.local.Grant(r.Workspace, r.Cost)
	}
	return g.transport.Send(from, broadcaster.GrantResponse, &response{
		Number: r.Number, Decided: ok, OK: d.OK, RetryAfterMS: d.RetryAfter.Milliseconds(), Level: d.Level, Fraction: d.Fraction,
	})
}

func (g *Granter) handleResponse(_ string, body []byte) error {
	var r response
	if err := packer.New(body).Unpack(&r); err != nil {
		return errors.Annotate(err, "grant response")
	}
	if !r.valid() {
		return errors.NotValidf("grant response with retry after %d ms, level %v, fraction %v", r.RetryAfterMS, r.Level, r.Fraction)
	}
	g.mu.Lock()
	answers := g.waiting[r.Number]
	delete(g.waiting, r.Number)
	g.mu.Unlock()
	if answers != nil {
		answers <- r
	}
	return nil
}
