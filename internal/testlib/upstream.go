package testlib

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Received is a request that an Upstream has read.
type Received struct {
	*http.Request
	Bytes []byte
}

// Script answers one request by writing raw bytes to the connection. The
// connection is closed when it returns false.
type Script func(conn net.Conn, r Received) bool

// Upstream is a server on loopback that answers as it is told, byte by byte.
type Upstream struct {
	Addr string

	mu       sync.Mutex
	script   Script
	received []Received
	conns    []net.Conn
	listener net.Listener
}

// NewUpstream starts an Upstream that ends with the test.
func NewUpstream(t testing.TB, s Script) *Upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &Upstream{Addr: l.Addr().String(), script: s, listener: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns = append(u.conns, conn)
			u.mu.Unlock()
			wg.Go(func() { u.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		u.mu.Lock()
		for _, conn := range u.conns {
			_ = conn.Close()
		}
		u.mu.Unlock()
		wg.Wait()
	})
	return u
}

// Stop lets further connections be refused.
func (u *Upstream) Stop() { _ = u.listener.Close() }

// SetScript replaces the answers.
func (u *Upstream) SetScript(s Script) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = s
}

// Received returns what has been read so far.
func (u *Upstream) Received() []Received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Received(nil), u.received...)
}

// Connections returns how many connections were taken.
func (u *Upstream) Connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

func (u *Upstream) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		got := Received{Request: r, Bytes: body}
		u.mu.Lock()
		u.received = append(u.received, got)
		script := u.script
		u.mu.Unlock()
		if !script(conn, got) {
			return
		}
	}
}

// FloodBytes is what a test's upstream pours out at most: far more than any bound and
// the buffers of two sockets.
const FloodBytes = 48 << 20

// Flood writes piece again and again, up to most bytes, and returns how many
// were taken before the peer closed the connection. It doesn't return before
// that.
func Flood(conn net.Conn, piece string, most int) int {
	const batch = 16 << 10
	b := []byte(strings.Repeat(piece, max(1, batch/len(piece))))
	taken := 0
	for taken < most {
		n, err := conn.Write(b)
		taken += n
		if err != nil {
			return taken
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // the end of the connection
	return taken
}

// Reset closes a connection so that its peer gets a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
