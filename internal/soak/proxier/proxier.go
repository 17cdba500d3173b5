// Package proxier is a TCP proxy on loopback that injects network faults, such as
// delays, resets and lost bytes, into the connections through it.
package proxier

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// linkDelay is the delay of a delayed link. It is longer than most latency
	// objectives.
	linkDelay = 250 * time.Millisecond
	// pausePollInterval is the time between two checks for the end of a pause.
	pausePollInterval = 10 * time.Millisecond
	// bufferBytes is the maximum number of bytes read at once.
	bufferBytes = 16 << 10
)

// link is a proxied connection: the one from the node and the one to the target.
type link struct {
	node, target net.Conn
	// silenced stays set, since a silenced connection doesn't recover.
	silenced bool
}

// Proxier forwards the connections of nodes to a target. It is safe for concurrent
// use.
type Proxier struct {
	clk      clock.Clock
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault planner.LinkTrouble // empty for none
	links map[*link]struct{}

	paused atomic.Bool
}

// New returns a Proxier that listens on addr and forwards to target.
func New(clk clock.Clock, addr, target string) (*Proxier, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for connections of nodes")
	}
	return &Proxier{clk: clk, listener: l, target: target, links: map[*link]struct{}{}}, nil
}

// Addr returns the address on which the Proxier listens.
func (p *Proxier) Addr() string { return p.listener.Addr().String() }

// SetPaused holds all bytes back, until it is called again with false.
func (p *Proxier) SetPaused(paused bool) { p.paused.Store(paused) }

// SetFault starts a link fault, or ends the current one if f is empty.
func (p *Proxier) SetFault(f planner.LinkTrouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for l := range p.links {
		switch f {
		case planner.Reset, planner.Unreached:
			reset(l.node)
			reset(l.target)
		case planner.Silenced:
			l.silenced = true
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // with no linger time, Close sends a reset
	}
	_ = c.Close()
}

// Run accepts connections until ctx ends.
func (p *Proxier) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for l := range p.links {
			reset(l.node)
			reset(l.target)
		}
	})
	defer stop()
	var g errgroup.Group
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			_ = g.Wait() // the goroutines return no errors
			if ctx.Err() != nil {
				return nil
			}
			return errors.Trace(err)
		}
		g.Go(func() error { p.handle(conn); return nil })
	}
}

// handle forwards one connection until it ends in both directions.
func (p *Proxier) handle(in net.Conn) {
	if p.faultOf(nil) == planner.Unreached {
		reset(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	l := &link{node: in, target: out}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { p.pipe(l, out, in, planner.Forward); return nil })
	g.Go(func() error { p.pipe(l, in, out, planner.Backward); return nil })
	_ = g.Wait() // the goroutines return no errors
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// faultOf returns the fault that affects a link, or a new connection if l is nil.
func (p *Proxier) faultOf(l *link) planner.LinkTrouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l != nil && l.silenced {
		return planner.Silenced
	}
	if p.fault == planner.Silenced {
		return "" // affects only connections that were open when it started
	}
	return p.fault
}

// pipe copies bytes in one direction until either end closes. Once bytes were
// dropped it drops all later ones, since TCP delivers bytes in order or not at all.
func (p *Proxier) pipe(l *link, dst, src net.Conn, direction planner.LinkTrouble) {
	buf := make([]byte, bufferBytes)
	dropping := false
	for {
		n, err := src.Read(buf)
		for p.paused.Load() {
			<-p.clk.After(pausePollInterval)
		}
		fault := p.faultOf(l)
		if fault == planner.Delayed {
			<-p.clk.After(linkDelay)
		}
		dropping = dropping || fault == planner.Silenced || fault == direction
		if n > 0 && !dropping {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		switch {
		case err == nil:
		case dropping:
			return // the end of the connection is lost as well
		case err == io.EOF:
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // half-close: the other direction may continue
			}
			return
		default:
			reset(dst)
			return
		}
	}
}
