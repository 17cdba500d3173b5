package testlib

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Series sends whole requests on kept connections and expects a complete response to each, and
// no end of a connection that wasn't announced.
type Series struct {
	Addr     string
	Conns    int
	Requests int // on each of the connections
	// Head returns the request line and the header of a request, without its framing.
	Head func(*rand.Rand) string
	// Check is called with each response.
	Check func(*http.Response) error
}

// Run sends the requests. Each is sent to its end, in pieces, before the response is read, which
// most callers do.
func (s Series) Run(t testing.TB) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range s.Conns {
		wg.Go(func() {
			c := &seriesConn{series: s, rnd: rand.New(rand.NewPCG(42, uint64(i+1)))}
			defer c.close()
			for n := range s.Requests {
				if err := c.request(); err != nil {
					t.Errorf("connection %d, request %d, %.300q: %v", i, n, c.head, err)
					return
				}
			}
		})
	}
	wg.Wait()
}

type seriesConn struct {
	series Series
	rnd    *rand.Rand
	conn   net.Conn // nil if none is open
	in     *bufio.Reader
	head   string // of the latest request
}

func (c *seriesConn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *seriesConn) request() error {
	if c.conn == nil {
		var err error
		if c.conn, err = net.Dial("tcp4", c.series.Addr); err != nil {
			return err
		}
		c.in = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
	text := c.randomRequest()
	for len(text) > 0 {
		size := min(len(text), 1+c.rnd.IntN(1<<16))
		if _, err := io.WriteString(c.conn, text[:size]); err != nil {
			return err
		}
		text = text[size:]
	}
	resp, err := http.ReadResponse(c.in, nil)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(c.in, nil)
	}
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.Close {
		c.close()
	}
	return c.series.Check(resp)
}

// randomRequest returns a whole request, framed at random.
func (c *seriesConn) randomRequest() string {
	rnd := c.rnd
	c.head = c.series.Head(rnd)
	if rnd.IntN(8) == 0 {
		c.head += "A: " + strings.Repeat("a", rnd.IntN(30<<10)) + "\r\n"
	}
	if rnd.IntN(10) == 0 {
		c.head += "Connection: close\r\n"
	}
	if rnd.IntN(6) == 0 {
		c.head += "Expect: 100-continue\r\n" // the body is sent uninvited
	}
	body := strings.Repeat("b", []int{0, 1, 4 << 10, 63 << 10, 65 << 10, 300 << 10, 900 << 10}[rnd.IntN(7)])
	switch rnd.IntN(3) {
	case 0:
		c.head += "Transfer-Encoding: chunked\r\nTrailer: T\r\n"
		return c.head + "\r\n" + chunks(rnd, body) + "0\r\nT: u\r\n\r\n"
	case 1:
		c.head += "Transfer-Encoding: chunked\r\n"
		return c.head + "\r\n" + chunks(rnd, body) + "0\r\n\r\n"
	}
	c.head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	return c.head + "\r\n" + body
}

func chunks(rnd *rand.Rand, body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(len(body), 1+rnd.IntN(1+len(body)))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}
