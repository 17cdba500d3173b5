// Package discarder reads the rest of the bodies of refused requests without keeping it. A
// caller whose connection is closed while it sends is reset, and may lose the refusal.
package discarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

const (
	// shortBytes and shortTimeout bound what is read before the refusal, so that the
	// connection can be kept.
	shortBytes   = 64 << 10
	shortTimeout = 500 * time.Millisecond
	// longTimeout bounds what is read after the refusal.
	longTimeout = 5 * time.Second
)

// Discarder reads the rest of request bodies. It is safe for concurrent use.
type Discarder struct{ clk clock.Clock }

// New returns a Discarder.
func New(clk clock.Clock) Discarder { return Discarder{clk: clk} }

// ReadShort is called before a refusal. It reads the rest of a short body and reports whether
// the body has ended; otherwise the connection must be closed after the refusal.
func (d Discarder) ReadShort(w http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength > shortBytes {
		return false
	}
	rc := http.NewResponseController(w)
	if rc.SetReadDeadline(d.clk.Now().Add(shortTimeout)) != nil {
		return false
	}
	stop := stopReading(rc, r)
	defer stop()
	if _, err := io.CopyN(io.Discard, r.Body, shortBytes+1); err != io.EOF {
		return false
	}
	return stop() && rc.SetReadDeadline(time.Time{}) == nil
}

// ReadLong sends a refusal that was written and announced the end of the connection. Then it
// reads the rest of the body, at most limit bytes.
func (d Discarder) ReadLong(w http.ResponseWriter, r *http.Request, limit int64) {
	rc := http.NewResponseController(w)
	if rc.Flush() != nil || rc.SetReadDeadline(d.clk.Now().Add(longTimeout)) != nil {
		return
	}
	stop := stopReading(rc, r)
	defer stop()
	_, _ = io.CopyN(io.Discard, r.Body, limit) // the connection is closed in any case
}

// stopReading ends the reading of a body once the context of its request is done.
func stopReading(rc *http.ResponseController, r *http.Request) (stop func() bool) {
	return context.AfterFunc(r.Context(), func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // fails only if the connection is closed
}
