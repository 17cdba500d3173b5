package testlib

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/juju/errors"
)

// Ports hands out loopback ports that no other process takes before they are used.
// They are below the range from which the system chooses ports, and in a block that
// this process holds: a listener on the block's first port keeps other processes with
// Ports away. It is safe for concurrent use.
type Ports struct {
	mu    sync.Mutex
	block net.Listener
	next  int
	end   int
}

const (
	firstBlock = 12000
	lastBlock  = 30000
	blockSize  = 200
)

// NewPorts returns Ports without a block, which the first call of Address reserves.
func NewPorts() *Ports { return &Ports{} }

// Address returns an address with a port that is free for TCP and UDP and that this
// process hasn't been given before.
func (p *Ports) Address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next >= p.end {
			if err := p.reserveBlock(); err != nil {
				return "", err
			}
		}
		addr := loopback(p.next)
		p.next++
		if isFree(addr) {
			return addr, nil
		}
	}
}

// reserveBlock reserves the next block. Earlier ones stay reserved: their ports may be
// in use.
func (p *Ports) reserveBlock() error {
	for base := max(firstBlock, p.end); base < lastBlock; base += blockSize {
		l, err := net.Listen("tcp4", loopback(base))
		if err != nil {
			continue // another process holds the block
		}
		p.block, p.next, p.end = l, base+1, base+blockSize
		return nil
	}
	return errors.NotFoundf("block of free ports")
}

func loopback(port int) string { return fmt.Sprint("127.0.0.1:", port) }

// isFree reports whether no program without Ports has the port.
func isFree(addr string) bool {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// processPorts are the ports of this process.
var processPorts = NewPorts()

// Address returns an address on loopback that nothing else uses.
func Address() (string, error) { return processPorts.Address() }

// NewAddress is Address for a test, which fails without one.
func NewAddress(t testing.TB) string {
	t.Helper()
	addr, err := Address()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
