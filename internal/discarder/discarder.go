// Package discarder reads the rest of the bodies of refused requests without keeping it. A
// caller whose connection is closed while it sends is reset, and may lose the refusal.
package discarder

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// shortBytes and shortTimeout bound what is read before the refusal, so that the
	// connection can be kept.
	shortBytes   = 64 << 10
	shortTimeout = 500 * time.Millisecond
	// longTimeout bounds what is read after the refusal, and pauseTimeout a pause in it.
	longTimeout  = time.Minute
	pauseTimeout = 5 * time.Second
	bufferBytes  = 16 << 10
)

// Discarder reads the rest of request bodies until a context ends, which must not be that of the
// request: net/http ends it as soon as a read of the body passes its deadline. It is safe for
// concurrent use.
type Discarder struct{ clk clock.Clock }

// New returns a Discarder.
func New(clk clock.Clock) Discarder { return Discarder{clk: clk} }

// ReadShort is called before a refusal. It reads the rest of a short body and reports whether
// the body has ended; otherwise the connection must be closed after the refusal.
func (d Discarder) ReadShort(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength > shortBytes {
		return false
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(d.clk.Now().Add(shortTimeout)) != nil {
		return false
	}
	stop := stopReading(ctx, rc)
	defer stop()
	if _, err := io.CopyN(io.Discard, r.Body, shortBytes+1); err != io.EOF {
		return false
	}
	return stop() && rc.SetReadDeadline(time.Time{}) == nil
}

// ReadLong sends a refusal that was written and announced the end of the connection. Then it
// reads the rest of the body, whatever its size: callers that send a body to its end before
// they read would lose the refusal.
func (d Discarder) ReadLong(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	stop := stopReading(ctx, rc)
	defer stop()
	end := d.clk.Now().Add(longTimeout)
	b := make([]byte, bufferBytes)
	var rest io.Reader = r.Body
	for {
		due := d.clk.Now().Add(pauseTimeout)
		if due.After(end) {
			due = end
		}
		if rc.SetReadDeadline(due) != nil || ctx.Err() != nil {
			return
		}
		_, err := rest.Read(b)
		if err == nil {
			continue
		}
		conn := closer.Connection(r.Context())
		if !errors.Is(err, os.ErrDeadlineExceeded) || !d.clk.Now().Before(due) || rest == conn || conn == nil || ctx.Err() != nil {
			return // the connection is closed in any case
		}
		rest = conn // a reader of chunks keeps the error of the reading before the refusal
	}
}

// stopReading ends the reading of a body once ctx is done.
func stopReading(ctx context.Context, rc *http.ResponseController) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // fails only if the connection is closed
}
