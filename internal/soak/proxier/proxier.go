// Package proxier passes connections on over loopback and does to them what
// networks do.
package proxier

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// delay is that of a delayed link: longer than most objectives.
	delay = 250 * time.Millisecond
	// bufferBytes is what is read at once.
	bufferBytes = 16 << 10
)

// link is a connection from a node and the one to its target.
type link struct {
	in, out net.Conn
	// silent is set for good, since such connections never come back.
	silent bool
}

// Proxier listens for nodes and connects to a target. It is safe for concurrent
// use.
type Proxier struct {
	clk    clock.Clock
	listen net.Listener
	target string

	mu      sync.Mutex
	trouble planner.LinkTrouble // empty for none
	links   map[*link]struct{}
}

// New listens on addr for connections to target.
func New(clk clock.Clock, addr, target string) (*Proxier, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for nodes")
	}
	return &Proxier{clk: clk, listen: l, target: target, links: map[*link]struct{}{}}, nil
}

// Addr returns where nodes connect.
func (p *Proxier) Addr() string { return p.listen.Addr().String() }

// SetFault begins a trouble, or ends it for "".
func (p *Proxier) SetFault(t planner.LinkTrouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	for l := range p.links {
		switch t {
		case planner.Reset, planner.Unreached:
			reset(l.in)
			reset(l.out)
		case planner.Silenced:
			l.silent = true
		}
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close below counts
	}
	_ = c.Close()
}

// Run serves until ctx ends.
func (p *Proxier) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = p.listen.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for l := range p.links {
			reset(l.in)
			reset(l.out)
		}
	})
	defer stop()
	var g errgroup.Group
	for {
		conn, err := p.listen.Accept()
		if err != nil {
			_ = g.Wait() // the goroutines return no errors
			if ctx.Err() != nil {
				return nil
			}
			return errors.Trace(err)
		}
		g.Go(func() error { p.pass(conn); return nil })
	}
}

func (p *Proxier) pass(in net.Conn) {
	if p.state(nil) == planner.Unreached {
		reset(in)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(in)
		return
	}
	l := &link{in: in, out: out}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { p.copy(l, out, in, planner.Forward); return nil })
	g.Go(func() error { p.copy(l, in, out, planner.Backward); return nil })
	_ = g.Wait() // the goroutines return no errors
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// state returns the trouble that strikes a link.
func (p *Proxier) state(l *link) planner.LinkTrouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l != nil && l.silent {
		return planner.Silenced
	}
	if p.trouble == planner.Silenced {
		return "" // new connections work
	}
	return p.trouble
}

// copy passes bytes on in one direction until an end closes. Nothing follows bytes that
// were lost, since a connection delivers its bytes in order or not at all.
func (p *Proxier) copy(l *link, dst, src net.Conn, direction planner.LinkTrouble) {
	buf := make([]byte, bufferBytes)
	lost := false
	for {
		n, err := src.Read(buf)
		trouble := p.state(l)
		if trouble == planner.Delayed {
			<-p.clk.After(delay)
		}
		lost = lost || trouble == planner.Silenced || trouble == direction
		if n > 0 && !lost {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				reset(src)
				return
			}
		}
		switch {
		case err == nil:
		case lost:
			return // the other end never hears of it
		case err == io.EOF:
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other direction may go on
			}
			return
		default:
			reset(dst)
			return
		}
	}
}
