package front

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/discarder"
	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// bodyPatience is how long a body may wait for memory.
const bodyPatience = 750 * time.Millisecond

// readBody reads the body of a request until the request's deadline.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, j *job) error {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > f.limits.BodyBytes {
		return failure.New(failure.TooLarge, "the body has %d bytes; %d is the limit", r.ContentLength, f.limits.BodyBytes)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(j.deadline) // fails only if the connection is closed
	b, err := f.memory.ReadBody(r.Context(), memorykeeper.Source{
		Reader: r.Body, Length: r.ContentLength, Limit: f.limits.BodyBytes, Workspace: j.workspace.Name, Patience: bodyPatience,
	})
	// From the end of the body on, the server reads to detect that the caller disconnects, and
	// would take a deadline that passes for that.
	_ = rc.SetReadDeadline(time.Time{})
	switch {
	case !f.clk.Now().Before(j.deadline):
		if err == nil {
			b.Release()
		}
		return failure.New(failure.RequestTimeout, "the body hadn't arrived when the time of the request was over; send it faster, or set a later deadline")
	case errors.Is(err, limitreader.ErrTooLong):
		return failure.New(failure.TooLarge, "the body has more than %d bytes, the limit", f.limits.BodyBytes)
	case errors.Is(err, memorykeeper.ErrFull):
		return failure.New(failure.Overloaded, "other requests take the memory of this entry; try again after the time in Retry-After, or at another entry")
	case err != nil:
		return failure.Wrap(failure.BadRequest, err, "read the body; send it whole")
	}
	j.memory, j.body = b, b.Bytes
	if b.Waited > 0 {
		f.log.WithFields(logrus.Fields{"event": "bodyWaited", "request": j.id, "waitedMs": b.Waited.Milliseconds()}).Info("request body waited for memory")
	}
	return nil
}

// refuseUnread refuses a request whose body may not have been read to its end.
func (f *Front) refuseUnread(w http.ResponseWriter, r *http.Request, k failure.Kind, msg string) {
	d, ctx := discarder.New(f.clk), context.WithoutCancel(r.Context())
	broken := k == failure.BadRequest || k == failure.RequestTimeout // net/http then reports an end that isn't there
	if r.ContentLength == 0 || !broken && d.ReadShort(ctx, w, r) {
		f.refuse(w, uuid.NewString(), k, msg)
		return
	}
	w.Header().Set("Connection", "close")
	f.refuse(w, uuid.NewString(), k, msg)
	d.ReadLong(ctx, w, r)
}
