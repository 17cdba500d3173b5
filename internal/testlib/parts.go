package testlib

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// CloseSending stands for a caller that closes its sending side and still reads.
const CloseSending = "\x00"

// SendParts sends parts of a request one after another on a connection of its own, with a
// pause between them. It returns the response and its body; nil if
// there is no whole response.
func SendParts(t testing.TB, addr string, pause time.Duration, parts ...string) (*http.Response, string) {
	t.Helper()
	return SendPartsAfter(t, addr, func() { time.Sleep(pause) }, parts...)
}

// SendPartsAfter is SendParts for a test that waits for an event between the parts, which may take
// longer if the process is paused.
func SendPartsAfter(t testing.TB, addr string, wait func(), parts ...string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	for i, p := range parts {
		if i > 0 {
			wait()
		}
		if p == CloseSending {
			_ = conn.(*net.TCPConn).CloseWrite()
			continue
		}
		_, _ = io.WriteString(conn, p)
	}
	in := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Logf("no response: %v", err)
			return nil, ""
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Logf("read the response: %v", err)
			return nil, ""
		}
		return resp, string(body)
	}
}

// SendBody sends the head of a request, and then its body of zeros in pieces with a pause after
// each. Then it reads the response, whose status is given. A caller that is reset while it
// sends never gets to that.
func SendBody(t testing.TB, addr, head string, pieces, pieceBytes int, pause time.Duration, status int) {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Each step has a time limit of its own: the process may be paused in any of them.
	extendDeadline := func() { _ = conn.SetDeadline(time.Now().Add(20 * time.Second)) }
	extendDeadline()
	_, _ = io.WriteString(conn, head)
	for range pieces {
		extendDeadline()
		if _, err := conn.Write(make([]byte, pieceBytes)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pause)
	}
	extendDeadline()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != status || !resp.Close {
		t.Errorf("status %d, closes the connection: %t; %v", resp.StatusCode, resp.Close, err)
	}
}

// ReadSlowly sends a request and reads the bytes of its response steadily, size of them in the
// given time and the rest at the same pace. It returns how many arrived.
func ReadSlowly(t testing.TB, addr, request string, size int, d time.Duration) int {
	t.Helper()
	const pieces = 64
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10) // fails only on a closed connection
	_ = conn.SetDeadline(time.Now().Add(d + 20*time.Second))
	_, _ = io.WriteString(conn, request)
	b := make([]byte, size/pieces)
	for total := 0; ; {
		n, err := io.ReadFull(conn, b)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(d / pieces)
	}
}
