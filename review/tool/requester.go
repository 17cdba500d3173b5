package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

const (
	host           = "jepu9.example"
	resolveTimeout = time.Second
	dialTimeout    = time.Second
	maxResolvers   = 3
	// pieceBytes are sent each pieceTime: 2.2 MB a second at most.
	pieceBytes = 64 << 10
	pieceTime  = 30 * time.Millisecond
)

var lastRequest atomic.Int64

// requester is a requester with one kept channel, as PROTOCOL.md describes it.
type requester struct {
	fleet     *fleet
	key       string
	addresses []string
	validTill time.Time
	failed    map[string]bool

	conn     net.Conn
	in       *bufio.Reader
	address  string // of the channel
	answered int    // requests answered on the channel
}

var errNoAddress = errors.New("the directory names no address")

// resolve asks up to three machines, and keeps the last response if none has a new one.
func (q *requester) resolve() error {
	if time.Now().Before(q.validTill) {
		return nil
	}
	order := rand.Perm(len(q.fleet.machines))
	for _, i := range order[:min(maxResolvers, len(order))] {
		addresses, ttl, err := client.Resolve(q.fleet.machines[i].directory(), zone, resolveTimeout)
		if err == nil && len(addresses) > 0 {
			q.addresses, q.validTill, q.failed = addresses, time.Now().Add(ttl), map[string]bool{}
			return nil
		}
	}
	if len(q.addresses) == 0 {
		return errNoAddress
	}
	return nil
}

// connect opens a channel to one of the addresses at random.
func (q *requester) connect() error {
	if err := q.resolve(); err != nil {
		return err
	}
	if q.conn != nil && slices.Contains(q.addresses, q.address) {
		return nil
	}
	q.close()
	candidates := slices.DeleteFunc(slices.Clone(q.addresses), func(a string) bool { return q.failed[a] })
	if len(candidates) == 0 {
		q.failed, q.validTill = map[string]bool{}, time.Time{}
		return errNoAddress
	}
	address := candidates[rand.IntN(len(candidates))]
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		q.failed[address] = true
		return err
	}
	q.conn, q.in, q.address, q.answered = conn, bufio.NewReader(conn), address, 0
	return nil
}

func (q *requester) close() {
	if q.conn != nil {
		_ = q.conn.Close()
	}
	q.conn = nil
}

// outcome is how a request ended.
type outcome struct {
	id, address string
	kept        bool // the channel had answered a request before
	status      int  // 0 without a response
	complete    bool // the response was received to its end
	closed      bool // the channel ended before the response did
}

// send sends a request and waits for its response.
func (q *requester) send(method, target string, body []byte, headers string, limit time.Duration) (outcome, error) {
	if err := q.connect(); err != nil {
		return outcome{}, err
	}
	o := outcome{id: fmt.Sprintf("r%06d", lastRequest.Add(1)), address: q.address, kept: q.answered > 0}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, target, host,
		translate.HeaderRequestID, o.id, translate.HeaderDeadline, limit.Milliseconds(), headers)
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	_ = q.conn.SetDeadline(time.Now().Add(limit)) // fails only on a closed channel
	err := q.write([]byte(b.String()), body)
	if err == nil {
		err = q.receive(&o)
	}
	if err != nil {
		var timeout net.Error
		o.closed = !errors.As(err, &timeout) || !timeout.Timeout()
		q.failed[q.address] = true
		q.close()
	}
	return o, nil
}

// write sends a request no faster than the requester's own link carries it, so that the
// links of the machines are never full.
func (q *requester) write(head, body []byte) error {
	if _, err := q.conn.Write(head); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if _, err := q.conn.Write(body[:n]); err != nil {
			return err
		}
		if body = body[n:]; len(body) > 0 {
			time.Sleep(pieceTime)
		}
	}
	return nil
}

func (q *requester) receive(o *outcome) error {
	resp, err := http.ReadResponse(q.in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	o.complete = true
	q.answered++
	if resp.Close {
		q.close()
	}
	return nil
}
