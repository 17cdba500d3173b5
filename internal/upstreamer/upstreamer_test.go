package upstreamer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

func spec(url string, fresh bool) *upstreamer.Spec {
	return &upstreamer.Spec{
		Method: http.MethodPost, URL: url, Body: []byte("body"), ContentType: "text/plain", ResumeFrom: -1, NewConnection: fresh,
		Header: http.Header{wire.HeaderIdempotencyKey: {"k"}}, FirstByteTimeout: time.Minute, ChunkTimeout: time.Minute,
	}
}

func serve(t testing.TB, f http.HandlerFunc) string {
	s := httptest.NewServer(f)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// TestTransportDoesNotResend guards against net/http sending a request a second
// time by itself. It does so if a pooled connection breaks, the request has an
// Idempotency-Key and its body can be rewound.
func TestTransportDoesNotResend(t *testing.T) {
	var calls atomic.Int32
	url := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	})
	u := upstreamer.New(systemclock.New())
	for i := range 2 {
		a, outcome, _ := u.Open(context.Background(), spec(url, true))
		if a != nil {
			_, _ = io.Copy(io.Discard, a)
			a.Close()
		}
		if want := []upstreamer.Outcome{upstreamer.Opened, upstreamer.Broken}[i]; outcome != want {
			t.Errorf("request %d: outcome %d, want %d", i, outcome, want)
		}
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("upstream received %d requests, want 2", n)
	}
}

func TestOpenOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		url     string
		want    upstreamer.Outcome
		wantErr error
	}{
		"answers":            {serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), upstreamer.Opened, nil},
		"connection refused": {"http://127.0.0.1:1", upstreamer.Refused, nil},
		"resets":             {serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), upstreamer.Broken, nil},
		"silent": {serve(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}), upstreamer.Broken, upstreamer.ErrSilent},
		"error without not-run header": {serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }), upstreamer.Opened, nil},
		"refuses without running": {serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderNotRun, "true")
			w.WriteHeader(503)
		}), upstreamer.Refused, nil},
		"redirects": {serve(t, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
		}), upstreamer.Opened, nil},
		"invalid address": {"http://127.0.0.1:99999", upstreamer.Refused, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := spec(c.url, true)
			s.FirstByteTimeout = 300 * time.Millisecond
			a, outcome, err := upstreamer.New(systemclock.New()).Open(context.Background(), s)
			if a != nil {
				a.Close()
			}
			if outcome != c.want || c.wantErr != nil && !errors.Is(err, c.wantErr) {
				t.Errorf("unexpected outcome %d, error %v", outcome, err)
			}
		})
	}
}

// BenchmarkLoadReport measures one load report request, with client and server in
// one process.
func BenchmarkLoadReport(b *testing.B) {
	url := serve(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"incarnation":"a","running":3}`)
	})
	u := upstreamer.New(systemclock.New())
	for b.Loop() {
		if _, err := u.FetchLoad(context.Background(), url); err != nil {
			b.Fatal(err)
		}
	}
}

// TestEndlessResponseIsAborted guards against a load report or response header
// that is read without a limit while the engine keeps sending.
func TestEndlessResponseIsAborted(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, piece string }{
		"report":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + `{"incarnation":"`, "x"},
		"spaces":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + `{"incarnation":"a"}`, " "},
		"head":              {"HTTP/1.1 200 OK\r\nField: ", "x"},
		"many fields":       {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n"},
		"chunk length":      {chunked, "1"},
		"chunk extension":   {chunked + "1;", "x"},
		"trailer":           {chunked + "2\r\n{}\r\n0\r\n", "A: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			up := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
				_, _ = io.WriteString(conn, c.start)
				written <- testlib.Flood(conn, c.piece, testlib.FloodBytes)
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if l, err := upstreamer.New(systemclock.New()).FetchLoad(ctx, "http://"+up.Addr); err == nil || ctx.Err() != nil {
				t.Errorf("load report %+v, error %v, want an error before the timeout", l, err)
			}
			if n := <-written; n >= testlib.FloodBytes {
				t.Errorf("all %d bytes were read, want fewer", n)
			}
		})
	}
}

// TestOversizedHeaderIsRejected guards against a response header that takes a
// large part of a node's memory.
func TestOversizedHeaderIsRejected(t *testing.T) {
	up := testlib.NewUpstream(t, func(conn net.Conn, _ testlib.Received) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nField: "+strings.Repeat("x", 1<<20)+"\r\n\r\nok")
		return false
	})
	a, outcome, err := upstreamer.New(systemclock.New()).Open(t.Context(), spec("http://"+up.Addr, true))
	if outcome != upstreamer.Broken || err == nil {
		t.Errorf("outcome %d, error %v, want outcome Broken and an error", outcome, err)
	}
	if a != nil {
		a.Close()
	}
}

// Guards against an answer that belongs to another request: a late copy of a response
// arrived on a pooled connection after the next request had been sent on it.
func TestLateCopyOfResponseIsNotTakenForNextRequest(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		br := bufio.NewReader(conn)
		for range 2 {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+wire.HeaderAttempt+": first\r\nContent-Length: 5\r\n\r\nfirst")
		}
	})
	u := upstreamer.New(systemclock.New())
	for i, attempt := range []string{"first", "second"} {
		s := spec("http://"+l.Addr().String(), false)
		s.Header.Set(wire.HeaderAttempt, attempt)
		a, outcome, _ := u.Open(context.Background(), s)
		if a != nil {
			_, _ = io.Copy(io.Discard, a)
			a.Close()
		}
		if want := []upstreamer.Outcome{upstreamer.Opened, upstreamer.Broken}[i]; outcome != want {
			t.Errorf("%s request: outcome %d, want %d", attempt, outcome, want)
		}
	}
}

// Guards against a late copy of an earlier response on a connection in use again that is
// taken for the response to this attempt: a refusal of a request that runs, or the answer
// to another request.
func TestLateCopyIsNotTakenForNextAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		late, echo string // header of the copy, and of the responses
		fresh      bool
		want       upstreamer.Outcome
	}{
		"refusal":                     {"503 Full\r\nX-Not-Run: true\r\nX-Attempt-Id: a-0\r\n", "X-Attempt-Id: %s\r\n", false, upstreamer.Broken},
		"answer":                      {"200 OK\r\nX-Attempt-Id: a-0\r\n", "X-Attempt-Id: %s\r\n", false, upstreamer.Broken},
		"refusal, new connections":    {"503 Full\r\nX-Not-Run: true\r\n", "", true, upstreamer.Opened},
		"answer, new connections":     {"200 OK\r\n", "", true, upstreamer.Opened},
		"no copy":                     {"", "X-Attempt-Id: %s\r\n", false, upstreamer.Opened},
		"no copy, attempts not named": {"", "", false, upstreamer.Opened},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			requests := map[net.Conn]int{}
			server := testlib.NewUpstream(t, func(conn net.Conn, r testlib.Received) bool {
				mu.Lock()
				defer mu.Unlock()
				if requests[conn]++; requests[conn] == 2 && c.late != "" {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+c.late+"Content-Length: 0\r\n\r\n")
				}
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", strings.ReplaceAll(c.echo, "%s", r.Header.Get(wire.HeaderAttempt)))
				return err == nil
			})
			u := upstreamer.New(systemclock.New())
			for i, want := range []upstreamer.Outcome{upstreamer.Opened, c.want, upstreamer.Opened} {
				s := spec("http://"+server.Addr, c.fresh)
				s.Header.Set(wire.HeaderAttempt, fmt.Sprint("a-", i))
				a, outcome, err := u.Open(t.Context(), s)
				if outcome != want {
					t.Errorf("attempt %d: outcome %d, %v, want %d", i, outcome, err, want)
				}
				if a == nil {
					continue
				}
				if body, err := io.ReadAll(a); err != nil || string(body) != "ok" {
					t.Errorf("attempt %d: body %q, %v", i, body, err)
				}
				a.Close()
			}
		})
	}
}
