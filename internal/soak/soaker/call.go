package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/soak/judge"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

const (
	// wait is how long a caller waits for an answer, longWait and up to
	// longWaitMore more for a long stream.
	wait         = 3 * time.Second
	longWait     = 10 * time.Second
	longWaitMore = 5 * time.Second
	// stretch is how many times as long as told some callers keep an answer of the
	// directory, each stretchOf-th of them.
	stretch   = 3
	stretchOf = 3
	// dial bounds the opening of a connection.
	dial = 500 * time.Millisecond
	// think is the longest time between two requests of a caller.
	think = 60 * time.Millisecond
	// avoid is how long a caller leaves an address alone that has failed it.
	avoid = time.Second
	// sessions is the number of prompts' shared parts.
	sessions = 20
)

// caller is one of the fleet's callers. It keeps a connection until the process
// at its other end is gone, as callers do that get no new answer of the directory.
type caller struct {
	s         *Soaker
	index     int
	rnd       *rand.Rand
	addresses []string
	resolved  time.Time
	keep      time.Duration
	failed    map[string]time.Time
	conn      *client.Client
	node      *node
	life      int
	asked     int
}

func (s *Soaker) call(ctx context.Context, i int, rnd *rand.Rand) {
	c := &caller{s: s, index: i, rnd: rnd, failed: map[string]time.Time{}}
	for clock.Sleep(ctx, s.clk, time.Duration(rnd.Int64N(int64(think)))) {
		if c.conn == nil && !c.connect() {
			continue
		}
		c.ask(ctx)
	}
	c.drop()
}

func (c *caller) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect chooses a node as callers on the platform do.
func (c *caller) connect() bool {
	now := c.s.clk.Now()
	if now.Sub(c.resolved) > c.keep {
		from := c.s.nodes[c.rnd.IntN(len(c.s.nodes))]
		addresses, keep, err := client.Resolve(fmt.Sprint(from.ip, ":", portDirectory), dataCentre, dial)
		if err == nil && len(addresses) > 0 { // otherwise the last answer stays in use
			c.addresses, c.keep, c.resolved = addresses, keep, now
			if c.index%stretchOf == 0 {
				c.keep *= stretch
			}
		}
	}
	var good []string
	for _, a := range c.addresses {
		if now.Sub(c.failed[a]) > avoid {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		return false
	}
	addr := good[c.rnd.IntN(len(good))]
	for _, n := range c.s.nodes {
		if n.callers() == addr {
			c.node, c.life = n, int(n.life.Load())
		}
	}
	conn, err := client.Dial(addr, dial)
	if err != nil {
		c.failed[addr] = now
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) ask(ctx context.Context) {
	all := routes(false)
	last := len(all) - 1
	r, wait := all[c.rnd.IntN(last)], wait
	patient := c.index >= c.s.set.Callers
	if patient {
		r, wait = all[last], longWait+time.Duration(c.rnd.Int64N(int64(longWaitMore)))
		defer context.AfterFunc(ctx, c.conn.Close)() // no soak waits for the last of them
	}
	k := c.rnd.IntN(Keys)
	c.asked++
	id := fmt.Sprintf("%d-%d-%d", c.s.set.Seed, c.index, c.asked)
	q := &client.Request{
		ID: id, Method: r.method, Host: host, Target: r.Prefix + id, APIKey: key(k), Timeout: wait,
	}
	if r.method != http.MethodGet {
		q.Body = []byte(strings.Repeat(id, 1+c.rnd.IntN(8)))
	}
	want := upstream.Body(id, q.Target)
	if r.Kind == traffic.Streaming {
		session := c.rnd.IntN(sessions)
		q.Model, q.Tokens = model, 500
		q.Parts = []string{"a1:200", fmt.Sprintf("b%d:200", session), fmt.Sprintf("c%d%d:100", c.index, c.asked)}
		want = stream(id)
	}
	x := judge.Request{
		ID: id, Kind: r.Kind, Resumable: r.Resumable, MaxAttempts: r.MaxAttempts, Node: c.node.index, Life: c.life,
		Method: q.Method, Target: q.Target, BodyHash: xxhash.Sum64(q.Body), Workspace: workspace(k), Key: q.APIKey, Limit: min(wait, r.Timeout), Want: want,
	}
	err := c.conn.Send(q)
	x.SentAt = c.s.clk.Now()
	var a client.Response
	if err == nil {
		a, err = c.conn.Receive(x.SentAt.Add(wait + time.Second))
	}
	x.EndedAt = c.s.clk.Now()
	x.Status, x.Whole, x.Genuine, x.AnswersID, x.Body = a.Status, a.Complete, a.Stamped, a.RequestID, string(a.Body)
	var timeout net.Error
	x.Lost = err != nil && !(patient && ctx.Err() != nil) && !(errors.As(err, &timeout) && timeout.Timeout())
	if err != nil {
		c.failed[c.node.callers()] = x.EndedAt
	}
	if err != nil || !a.Reusable {
		c.drop()
	}
	c.s.mu.Lock()
	c.s.history.Requests = append(c.s.history.Requests, x)
	c.s.mu.Unlock()
}

// stream returns all events of a stream.
func stream(id string) string {
	var b strings.Builder
	for n := 1; n <= upstream.StreamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, upstream.Event(id, n))
	}
	return b.String()
}
