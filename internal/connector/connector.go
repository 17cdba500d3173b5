package connector

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Outcome is how the opening of an exchange went.
type Outcome uint8

// The outcomes.
const (
	// Opened means that the answer has begun.
	Opened Outcome = iota + 1
	// NotSent means that no byte of the request has left.
	NotSent
	// Broken means that the upstream may have run the request.
	Broken
)

// Call is a request to an upstream.
type Call struct {
	Address string
	// Incarnation is the upstream's life; a connection serves only one.
	Incarnation string
	Method      string
	Target      string
	Host        string
	// Head has the header lines, each with its line break, without the framing
	// of the body.
	Head []byte
	Body []byte
	// Fresh asks for a connection on which nothing has been sent lately.
	Fresh bool
	// FirstByteTimeout bounds the wait for the answer's start.
	FirstByteTimeout time.Duration
	// Matches reports whether an answer belongs to this call.
	Matches func(Header) bool
}

const (
	// dialTimeout bounds the wait for a connection: a round trip takes some ms,
	// and one more try of a lost packet a second.
	dialTimeout = 700 * time.Millisecond
	// userTimeout ends a connection whose bytes aren't acknowledged. Losses
	// are repaired in some hundred ms.
	userTimeout = 1500 * time.Millisecond
	// keepAliveEvery and keepAliveTries find a connection that went silent
	// while this side only reads.
	keepAliveEvery = time.Second
	keepAliveTries = 2
	// freshFor is how long an idle connection is believed to be alive without
	// asking the other side.
	freshFor = time.Second
	// idleLimit closes connections that nobody uses; upstreams tell shorter
	// limits themselves.
	idleLimit = 10 * time.Second
	// idlePerUpstream bounds the kept connections to one upstream.
	idlePerUpstream = 32
)

type pool struct{ idle []*conn }

// Connector holds the idle connections. It is safe for concurrent use.
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
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveTries},
		},
	}
}

// take returns an idle connection that looks alive, nil if there is none.
func (c *Connector) take(incarnation string, fresh bool) *conn {
	now := c.clk.Now()
	for {
		cn := c.pop(incarnation)
		if cn == nil {
			return nil
		}
		limit := idleLimit
		if fresh {
			limit = freshFor
		}
		if now.Sub(cn.idleSince) < limit && now.Before(cn.expires) && cn.quiet() {
			return cn
		}
		cn.close()
	}
}

func (c *Connector) pop(incarnation string) *conn {
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

// give keeps a connection for the next call.
func (c *Connector) give(cn *conn) {
	cn.idleSince = c.clk.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[cn.incarnation]
	if p == nil {
		p = &pool{}
		c.pools[cn.incarnation] = p
	}
	if len(p.idle) >= idlePerUpstream {
		oldest := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		oldest.close()
	}
	p.idle = append(p.idle, cn)
}

// Retain closes the idle connections to all but the given incarnations, and
// those that nobody has used for long.
func (c *Connector) Retain(keep func(incarnation string) bool) {
	now := c.clk.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for inc, p := range c.pools {
		alive := keep(inc)
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if alive && now.Sub(cn.idleSince) < idleLimit && now.Before(cn.expires) {
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
	return newConn(nc, call.Incarnation, c.clk.Now().Add(idleLimit)), nil
}
