package proxier_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/internal/soak/proxier"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

// startEchoServer starts a server that echoes all bytes, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().String()
}

// startProxier returns a running Proxier in front of an echo server.
func startProxier(t *testing.T) *proxier.Proxier {
	t.Helper()
	p, err := proxier.New(systemclock.New(), "127.0.0.1:0", startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return p
}

func TestLinkFaults(t *testing.T) {
	for _, c := range []struct {
		fault planner.LinkTrouble
		// openWorks and newWorks report whether an open and a new connection echo a line.
		openWorks, newWorks bool
	}{
		{"", true, true},
		{planner.Delayed, true, true},
		{planner.Reset, false, true},
		{planner.Silenced, false, true},
		{planner.Forward, false, false},
		{planner.Backward, false, false},
		{planner.Unreached, false, false},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			p := startProxier(t)
			echoes := func(conn net.Conn) bool {
				if _, err := io.WriteString(conn, "x\n"); err != nil {
					return false
				}
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				line, err := bufio.NewReader(conn).ReadString('\n')
				return err == nil && line == "x\n"
			}
			openConn, err := net.Dial("tcp4", p.Addr())
			if err != nil || !echoes(openConn) {
				t.Fatalf("no echo before the fault: %v", err)
			}
			defer openConn.Close()
			p.SetFault(c.fault)
			if got := echoes(openConn); got != c.openWorks {
				t.Errorf("open connection echoes: %v, want the opposite", got)
			}
			newConn, err := net.Dial("tcp4", p.Addr())
			got := err == nil && echoes(newConn)
			if got != c.newWorks {
				t.Errorf("new connection echoes: %v, want the opposite; error %v", got, err)
			}
			if newConn != nil {
				defer newConn.Close()
			}
			p.SetFault("")
			afterConn, err := net.Dial("tcp4", p.Addr())
			if err != nil || !echoes(afterConn) {
				t.Errorf("no echo after the fault: %v", err)
			}
			if afterConn != nil {
				_ = afterConn.Close()
			}
		})
	}
}

// Guards against a proxy that drops bytes in the middle of a connection and forwards
// later ones, as no network does: a node then received an altered response that
// looked complete.
func TestNoBytesAfterLostOnes(t *testing.T) {
	for _, fault := range []planner.LinkTrouble{planner.Forward, planner.Backward} {
		t.Run(string(fault), func(t *testing.T) {
			p := startProxier(t)
			conn, err := net.Dial("tcp4", p.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			send := func(line string) {
				if _, err := io.WriteString(conn, line); err != nil {
					t.Fatal(err)
				}
			}
			send("first\n")
			if line, err := in.ReadString('\n'); line != "first\n" {
				t.Fatalf("first line: got %q, error %v", line, err)
			}
			p.SetFault(fault)
			send("lost\n")
			time.Sleep(100 * time.Millisecond)
			p.SetFault("")
			send("later\n")
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			if line, err := in.ReadString('\n'); err == nil {
				t.Errorf("received %q after lost bytes", line)
			}
		})
	}
}

// A pause delays bytes and loses none.
func TestPauseHoldsBytesBack(t *testing.T) {
	p := startProxier(t)
	conn, err := net.Dial("tcp4", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, paused := range []bool{false, true, false} {
		p.SetPaused(paused)
		if _, err := io.WriteString(conn, "x\n"); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if line, err := in.ReadString('\n'); (err != nil) != paused {
			t.Errorf("paused %t: line %q, error %v", paused, line, err)
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if line, err := in.ReadString('\n'); err != nil || line != "x\n" {
		t.Errorf("after the pause: line %q, error %v", line, err)
	}
}
