package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

const (
	// responseTimeout is how long a caller waits for a response. For a long stream
	// it waits longStreamTimeout and a random time of up to longStreamTimeoutSpread.
	responseTimeout         = 3 * time.Second
	longStreamTimeout       = 10 * time.Second
	longStreamTimeoutSpread = 5 * time.Second
	// Every overstayEvery-th caller uses a response of the directory overstayFactor
	// times as long as its TTL permits.
	overstayFactor = 3
	overstayEvery  = 3
	// dialTimeout is the timeout for opening a connection.
	dialTimeout = 500 * time.Millisecond
	// maxThinkTime is the maximum pause between two requests of a caller.
	maxThinkTime = 60 * time.Millisecond
	// failedAddressBackoff is how long a caller avoids an address after a failure.
	failedAddressBackoff = time.Second
	// sessions is the number of prompt parts that are shared between requests.
	sessions = 20
	// maxPieces is the largest number of pieces that a large body is sent in, maxPieceGap
	// the longest pause before one.
	maxPieces   = 4
	maxPieceGap = 120 * time.Millisecond
	// While bodies are large, every idleEvery-th pause of a caller is as long as a
	// connection may always stay idle, of which callers use idleShare.
	idleEvery = 50
	idleShare = 0.8
)

// caller is a simulated caller. It keeps its connection until the node closes it
// or a request fails, as real callers do that don't query the directory again.
type caller struct {
	s           *Soaker
	index       int
	rnd         *rand.Rand
	addresses   []string
	resolvedAt  time.Time
	ttl         time.Duration
	failedAt    map[string]time.Time
	conn        *client.Client
	node        *node
	incarnation int
	sent        int
}

// runCaller sends requests one after the other until ctx ends.
func (s *Soaker) runCaller(ctx context.Context, i int, rnd *rand.Rand) {
	c := &caller{s: s, index: i, rnd: rnd, failedAt: map[string]time.Time{}}
	for clock.Sleep(ctx, s.clk, c.drawPause()) {
		if c.conn == nil && !c.connect() {
			continue
		}
		c.sendRequest(ctx)
	}
	c.closeConn()
}

// drawPause draws the time to the next request.
func (c *caller) drawPause() time.Duration {
	if c.s.largeBodies.Load() != nil && c.rnd.IntN(idleEvery) == 0 {
		return time.Duration(idleShare * float64(planner.MinIdleTimeout))
	}
	return time.Duration(c.rnd.Int64N(int64(maxThinkTime)))
}

func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect connects to a random node that the directory lists and that hasn't failed
// recently, as callers on the platform do.
func (c *caller) connect() bool {
	now := c.s.clk.Now()
	if now.Sub(c.resolvedAt) > c.ttl {
		directory := c.s.nodes[c.rnd.IntN(len(c.s.nodes))]
		addresses, ttl, err := client.Resolve(fmt.Sprint(directory.ip, ":", portDirectory), dataCentre, dialTimeout)
		if err == nil && len(addresses) > 0 { // otherwise the previous response stays in use
			c.addresses, c.ttl, c.resolvedAt = addresses, ttl, now
			if c.index%overstayEvery == 0 {
				c.ttl *= overstayFactor
			}
		}
	}
	var candidates []string
	for _, a := range c.addresses {
		if now.Sub(c.failedAt[a]) > failedAddressBackoff {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	addr := candidates[c.rnd.IntN(len(candidates))]
	for _, n := range c.s.nodes {
		if n.callerAddr() == addr {
			c.node, c.incarnation = n, int(n.incarnation.Load())
		}
	}
	conn, err := client.Dial(addr, dialTimeout)
	if err != nil {
		c.failedAt[addr] = now
		return false
	}
	c.conn = conn
	return true
}

// sendRequest sends one request, waits for the response and records both.
func (c *caller) sendRequest(ctx context.Context) {
	all := routes(false)
	last := len(all) - 1
	r, wait := all[c.rnd.IntN(last)], responseTimeout
	longStream := c.index >= c.s.settings.Callers
	if longStream {
		r, wait = all[last], longStreamTimeout+time.Duration(c.rnd.Int64N(int64(longStreamTimeoutSpread)))
		defer context.AfterFunc(ctx, c.conn.Close)() // don't wait for the last long streams at the end
	}
	k, poison := c.rnd.IntN(KeyCount), c.drawPoison(r.Prefix)
	if p := c.s.poison.Load(); p != nil && p.Alone && r.Kind != traffic.Streaming && poison == nil {
		return
	}
	if poison != nil && !poison.Part {
		k = 0 // the same caller each time
	}
	c.sent++
	id := fmt.Sprintf("%d-%d-%d", c.s.settings.Seed, c.index, c.sent)
	req := &client.Request{
		ID: id, Method: r.method, Host: host, Target: r.Prefix + id, APIKey: key(k), Timeout: wait,
	}
	if r.method != http.MethodGet {
		req.Body = []byte(strings.Repeat(id, 1+c.rnd.IntN(8)))
	}
	if r.Kind == traffic.Streaming {
		session := c.rnd.IntN(sessions)
		req.Model, req.Tokens = model, 500
		req.Parts = []string{"a1:200", fmt.Sprintf("b%d:200", session), fmt.Sprintf("c%d%d:100", c.index, c.sent)}
	}
	if poison != nil {
		c.applyPoison(poison, req)
	} else {
		c.drawLargeBody(ctx, req)
	}
	wantBody := upstream.Body(id, req.Target)
	if r.Kind == traffic.Streaming {
		wantBody = streamBody(id)
	}
	record := checker.Request{
		ID: id, Kind: r.Kind, Resumable: r.Resumable, MaxAttempts: r.MaxAttempts, Node: c.node.index, Incarnation: c.incarnation,
		Method: req.Method, Target: req.Target, Route: r.Prefix, BodyHash: xxhash.Sum64(req.Body), Workspace: workspace(k), Key: req.APIKey,
		WantBody: wantBody, Poison: poison,
	}
	sending := c.exchange(req, &record, func() bool { return longStream && ctx.Err() != nil })
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	limit := c.s.declared.leastFactor(record.SentAt.Add(-sending-Bounds().Config), record.EndedAt) * float64(r.Timeout)
	record.Timeout = min(wait, time.Duration(limit)) - sending // nodes count from the header
	c.s.history.Requests = append(c.s.history.Requests, record)
}

// exchange sends a request, waits for the response and records the outcome. It returns how
// long the sending took. A request that abandoned reports true for has been given up.
func (c *caller) exchange(req *client.Request, record *checker.Request, abandoned func() bool) (sending time.Duration) {
	begunAt := c.s.clk.Now()
	sendErr := c.conn.Send(req)
	record.SentAt, record.SentWhole = c.s.clk.Now(), sendErr == nil
	resp, err := c.conn.Receive(record.SentAt.Add(req.Timeout + time.Second)) // a refusal may come before the request is sent whole
	record.EndedAt = c.s.clk.Now()
	record.Status, record.Complete, record.Stamped, record.ResponseID = resp.Status, resp.Complete, resp.Stamped, resp.RequestID
	record.Body = strings.ReplaceAll(string(resp.Body), upstream.Comment, "") // callers ignore comments
	if err != nil && !abandoned() {
		var network net.Error
		record.TimedOut = errors.As(err, &network) && network.Timeout()
		record.ConnectionLost = !record.TimedOut
	}
	if err != nil || sendErr != nil {
		c.failedAt[c.node.callerAddr()] = record.EndedAt
	}
	if err != nil || sendErr != nil || !resp.Reusable {
		c.closeConn()
	}
	return record.SentAt.Sub(begunAt)
}

// drawLargeBody gives a request that has a body a large one, sent in pieces, or leaves it as it is.
func (c *caller) drawLargeBody(ctx context.Context, req *client.Request) {
	f := c.s.largeBodies.Load()
	if f == nil || req.Body == nil || c.rnd.Float64() >= f.Share {
		return
	}
	req.Body = []byte(strings.Repeat(req.ID+" ", 1+c.rnd.IntN(planner.MaxBodyBytes/(len(req.ID)+1))))
	req.Pieces = 1 + c.rnd.IntN(maxPieces)
	req.BetweenPieces = func() { clock.Sleep(ctx, c.s.clk, time.Duration(c.rnd.Int64N(int64(maxPieceGap)))) }
}

// poisonShare is the share of poison requests on their route, lonePoisonShare that of those
// that come in place of sound ones.
const poisonShare, lonePoisonShare = 0.1, 0.5

// drawPoison returns the poison of the next request on a route, nil for a sound one.
func (c *caller) drawPoison(route string) *checker.Poison {
	p, share := c.s.poison.Load(), poisonShare
	if p != nil && p.Alone {
		share = lonePoisonShare
	}
	if p != nil && p.Route == route && c.rnd.Float64() < share {
		return p
	}
	return nil
}

// applyPoison makes a request a poison request.
func (c *caller) applyPoison(p *checker.Poison, req *client.Request) {
	if p.Part {
		req.Parts = slices.Insert(req.Parts, 1+c.rnd.IntN(2), p.Name+":150")
		return
	}
	req.Target = p.Route + p.Name
	if req.Body != nil {
		req.Body = []byte(p.Name)
	}
	if req.Parts != nil {
		req.Parts = []string{req.Parts[0], "b0:200", "c0:100"}
	}
}

// streamBody returns the expected body of a complete stream.
func streamBody(id string) string {
	var b strings.Builder
	for n := 1; n <= upstream.StreamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, upstream.Event(id, n))
	}
	return b.String()
}
