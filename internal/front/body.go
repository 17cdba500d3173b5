package front

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/discarder"
	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

const (
	// maxBodyTimeout bounds the reading of a request's body, as does its deadline.
	maxBodyTimeout = time.Minute
	// bodyPatience is how long a body may wait for memory.
	bodyPatience = 750 * time.Millisecond
)

// readBody reads the body of a request whose key is known.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, j *job) error {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > f.limits.BodyBytes {
		return failure.New(failure.TooLarge, "the body has %d bytes; %d is the limit", r.ContentLength, f.limits.BodyBytes)
	}
	due := j.acceptedAt.Add(maxBodyTimeout)
	if j.deadline.Before(due) {
		due = j.deadline
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(due); err != nil {
		return failure.Wrap(failure.Internal, err, "limit the time to read the body")
	}
	b, err := f.memory.ReadBody(r.Context(), memorykeeper.Source{
		Reader: r.Body, Length: r.ContentLength, Limit: f.limits.BodyBytes, Workspace: j.workspace.Name, Patience: bodyPatience,
	})
	switch {
	case errors.Is(err, limitreader.ErrTooLong):
		return failure.New(failure.TooLarge, "the body has more than %d bytes, the limit", f.limits.BodyBytes)
	case errors.Is(err, memorykeeper.ErrFull):
		return failure.New(failure.Overloaded, "other requests take the memory of this entry; try again after the time in Retry-After, or at another entry")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.Wrap(failure.RequestTimeout, err, "read the body; send it faster")
	case err != nil:
		return failure.Wrap(failure.BadRequest, err, "read the body; send it whole")
	}
	j.memory, j.body = b, b.Bytes
	if b.Waited > 0 {
		f.log.WithFields(logrus.Fields{"event": "bodyWaited", "request": j.id, "waitedMs": b.Waited.Milliseconds()}).Info("request body waited for memory")
	}
	// From the end of the body on, the server reads to detect that the caller disconnects, and
	// would take a deadline that passes for that.
	return failure.Wrap(failure.Internal, rc.SetReadDeadline(time.Time{}), "end the time limit of the body")
}

// refuseUnread refuses a request whose body hasn't been read to its end.
func (f *Front) refuseUnread(w http.ResponseWriter, r *http.Request, id string, k failure.Kind, msg string) {
	d := discarder.New(f.clk)
	if d.ReadShort(w, r) {
		f.refuse(w, id, k, msg)
		return
	}
	w.Header().Set("Connection", "close")
	f.refuse(w, id, k, msg)
	d.ReadLong(w, r, f.limits.BodyBytes)
}
