package connector

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Outcome is the result of Connector.Open.
type Outcome uint8

// The outcomes.
const (
	// Opened means that the response header has arrived.
	Opened Outcome = iota + 1
	// NotSent means that no byte of the request was sent.
	NotSent
	// Broken means that the exchange failed and the upstream may have run the
	// request.
	Broken
)

// Call is a request to an upstream.
type Call struct {
	Address string
	// Incarnation identifies the start of the upstream. A connection serves calls
	// to one incarnation only.
	Incarnation string
	Method      string
	Target      string
	Host        string
	// Head has the header lines, each with its line break, without Host and
	// without the framing of the body.
	Head []byte
	Body []byte
	// Fresh restricts the reuse of connections to those that have been idle for
	// less than maxFreshIdleTime.
	Fresh bool
	// New demands a new connection. A late copy of the response to an earlier attempt
	// with the same request ID can't arrive on it.
	New bool
	// Permit is called right before the request is written, nil for always. If it
	// returns an error, nothing is sent. The process may have been suspended while the
	// connection was opened.
	Permit func() error
	// FirstByteTimeout is the timeout for the response header.
	FirstByteTimeout time.Duration
	// Matches reports whether a response belongs to this call.
	Matches func(Header) bool
}

const (
	// dialTimeout is the timeout for connecting: a round trip takes some ms, and
	// the retransmission of a lost packet a second.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may stay
	// unacknowledged. Retransmission repairs losses within some hundred ms.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveProbes configure TCP keep-alive, which detects
	// a dead connection while this side only reads.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxFreshIdleTime is how long an idle connection is assumed to be alive without
	// a check of the other side.
	maxFreshIdleTime = time.Second
	// maxIdleTime is how long an unused connection stays open. Upstreams announce
	// shorter limits in Keep-Alive.
	maxIdleTime = 10 * time.Second
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream.
	maxIdlePerUpstream = 32
)

type pool struct{ idle []*conn }

// Connector opens exchanges and pools idle connections. It is safe for concurrent
// use.
type Connector struct {
	clk    clock.Clock
	dialer net.Dialer
	mu     sync.Mutex
	pools  map[string]*pool // by incarnation
}

// New returns a Connector without connections.
func New(clk clock.Clock) *Connector {
	return &Connector{
		clk: clk, pools: map[string]*pool{},
		dialer: net.Dialer{
			Timeout: dialTimeout, Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		},
	}
}

// takeIdle returns an idle connection that appears to be alive, or nil if there is
// none.
func (c *Connector) takeIdle(incarnation string, fresh bool) *conn {
	now := c.clk.Now()
	for {
		cn := c.popIdle(incarnation)
		if cn == nil {
			return nil
		}
		limit := maxIdleTime
		if fresh {
			limit = maxFreshIdleTime
		}
		if now.Sub(cn.idleSince) < limit && now.Before(cn.expires) && cn.isQuiet() {
			return cn
		}
		cn.close()
	}
}

func (c *Connector) popIdle(incarnation string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[incarnation]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	cn := p.idle[last]
	p.idle = p.idle[:last]
	return cn
}

// putIdle returns a connection to the pool.
func (c *Connector) putIdle(cn *conn) {
	cn.idleSince = c.clk.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[cn.incarnation]
	if p == nil {
		p = &pool{}
		c.pools[cn.incarnation] = p
	}
	if len(p.idle) >= maxIdlePerUpstream {
		oldest := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		oldest.close()
	}
	p.idle = append(p.idle, cn)
}

// Retain closes the idle connections to incarnations for which keep returns false,
// and those that have been idle too long.
func (c *Connector) Retain(keep func(incarnation string) bool) {
	now := c.clk.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for inc, p := range c.pools {
		alive := keep(inc)
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if alive && now.Sub(cn.idleSince) < maxIdleTime && now.Before(cn.expires) {
				kept = append(kept, cn)
				continue
			}
			cn.close()
		}
		p.idle = kept
		if !alive {
			delete(c.pools, inc)
		}
	}
}

func (c *Connector) dial(ctx context.Context, call *Call) (*conn, error) {
	nc, err := c.dialer.DialContext(ctx, "tcp4", call.Address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, call.Incarnation, c.clk.Now().Add(maxIdleTime)), nil
}
