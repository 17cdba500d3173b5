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

// Received is a request that an Upstream has read; Bytes is its body.
type Received struct {
	*http.Request
	Bytes []byte
}

// Script responds to one request by writing raw bytes to conn. If it returns false,
// the Upstream closes the connection.
type Script func(conn net.Conn, r Received) bool

// Upstream is an HTTP server on loopback whose responses are written, byte by
// byte, by a Script.
type Upstream struct {
	Addr string

	mu       sync.Mutex
	script   Script
	received []Received
	conns    []net.Conn
	listener net.Listener
}

// NewUpstream starts an Upstream that runs until the test ends.
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

// Stop closes the listener, so that new connections are refused. Open
// connections stay.
func (u *Upstream) Stop() { _ = u.listener.Close() }

// SetScript replaces the script from the next request on.
func (u *Upstream) SetScript(s Script) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = s
}

// Received returns the requests that were read so far.
func (u *Upstream) Received() []Received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Received(nil), u.received...)
}

// Connections returns the number of connections that were accepted.
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

// FloodBytes is a limit for Flood that far exceeds every size limit under test,
// plus the buffers of two sockets.
const FloodBytes = 48 << 20

// Flood writes chunk repeatedly, until at least limit bytes are written or the peer
// closes the connection, and returns the number of bytes written. If it reaches the
// limit, it waits for the peer to close the connection before it returns.
func Flood(conn net.Conn, chunk string, limit int) int {
	const batch = 16 << 10
	b := []byte(strings.Repeat(chunk, max(1, batch/len(chunk))))
	written := 0
	for written < limit {
		n, err := conn.Write(b)
		written += n
		if err != nil {
			return written
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // blocks until the peer closes the connection
	return written
}

// Reset closes a connection so that the peer receives a TCP reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
