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

// echoes listens and sends each line back.
func echoes(t *testing.T) string {
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

// passing returns a running Proxier to a server that echoes.
func passing(t *testing.T) *proxier.Proxier {
	t.Helper()
	p, err := proxier.New(systemclock.New(), "127.0.0.1:0", echoes(t))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return p
}

func TestTroublesOfLinks(t *testing.T) {
	for _, c := range []struct {
		trouble planner.LinkTrouble
		// old and fresh say whether an open and a new connection answer.
		old, fresh bool
	}{
		{"", true, true},
		{planner.Delayed, true, true},
		{planner.Reset, false, true},
		{planner.Silenced, false, true},
		{planner.Forward, false, false},
		{planner.Backward, false, false},
		{planner.Unreached, false, false},
	} {
		t.Run(string(c.trouble), func(t *testing.T) {
			p := passing(t)
			answers := func(conn net.Conn) bool {
				if _, err := io.WriteString(conn, "x\n"); err != nil {
					return false
				}
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				line, err := bufio.NewReader(conn).ReadString('\n')
				return err == nil && line == "x\n"
			}
			open, err := net.Dial("tcp4", p.Addr())
			if err != nil || !answers(open) {
				t.Fatalf("no answer without trouble: %v", err)
			}
			defer open.Close()
			p.SetFault(c.trouble)
			if got := answers(open); got != c.old {
				t.Errorf("open connection answers: %v", got)
			}
			fresh, err := net.Dial("tcp4", p.Addr())
			got := err == nil && answers(fresh)
			if got != c.fresh {
				t.Errorf("new connection answers: %v, %v", got, err)
			}
			if fresh != nil {
				defer fresh.Close()
			}
			p.SetFault("")
			again, err := net.Dial("tcp4", p.Addr())
			if err != nil || !answers(again) {
				t.Errorf("no answer after the trouble: %v", err)
			}
			if again != nil {
				_ = again.Close()
			}
		})
	}
}

// Guards against links that lose bytes in the middle of a connection and pass on later
// ones, as no network does: what a node was given then looked like a whole answer.
func TestNothingFollowsLostBytes(t *testing.T) {
	for _, trouble := range []planner.LinkTrouble{planner.Forward, planner.Backward} {
		t.Run(string(trouble), func(t *testing.T) {
			p := passing(t)
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
				t.Fatalf("got %q, %v", line, err)
			}
			p.SetFault(trouble)
			send("lost\n")
			time.Sleep(100 * time.Millisecond)
			p.SetFault("")
			send("later\n")
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			if line, err := in.ReadString('\n'); err == nil {
				t.Errorf("%q arrived after lost bytes", line)
			}
		})
	}
}
