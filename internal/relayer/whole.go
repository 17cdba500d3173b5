package relayer

import (
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// answer is a complete response that is not a stream.
type answer struct {
	status   int
	header   http.Header
	pieces   [][]byte
	size     int64
	buffered *memorykeeper.Reservation
}

// relayWhole forwards a response that is not a stream once it is complete, and
// reports whether to make another attempt.
func (u *relay) relayWhole(x *connector.Exchange) bool {
	if err := x.SetReadTimeout(max(minRemaining, u.deadline.Sub(u.r.Clock.Now()))); err != nil {
		return u.handleBroken(errors.Annotate(err, "read response"))
	}
	a := &answer{status: x.Status, header: x.Header, buffered: u.r.Memory.Response()}
	kept := false
	defer func() {
		if !kept {
			a.buffered.Release()
		}
	}()
	if err := a.read(x); err != nil {
		return u.handleBroken(errors.Annotate(err, "read response"))
	}
	failed := a.status >= http.StatusInternalServerError
	u.endAttempt(func(p *placer.Placer, c placer.Choice) {
		if failed {
			p.RecordFailure(u.r.Clock.Now(), c)
			return
		}
		p.RecordSuccess(c)
		u.recordDuration()
		if a.status < http.StatusMultipleChoices {
			u.recordSuccess()
		}
	})
	if failed && !u.responseStarted && u.mayMove() {
		u.exclude = append(u.exclude, u.choice.Incarnation())
		u.logEntry("answerFailed").WithField("status", a.status).Info("upstream returned a server error; retrying the request")
		kept = true
		u.keep(a)
		return true
	}
	if u.responseStarted { // a stream was to be resumed
		u.reason = "upstream responded to the resumption with status " + strconv.Itoa(a.status)
		u.fail(failure.StreamLost)
		return false
	}
	u.forward(a)
	return false
}

// keep replaces the answer that is kept, nil for none.
func (u *relay) keep(a *answer) {
	if u.kept != nil {
		u.kept.buffered.Release()
	}
	u.kept = a
}

func (u *relay) forward(a *answer) {
	u.w.Begin(a.status, a.header, a.size)
	var err error
	for _, p := range a.pieces {
		if err = u.w.Write(p); err != nil {
			break
		}
	}
	u.recordResponse(a.status, err)
}

// read reads the body to its end. It reads into pieces, so that no byte is held
// in memory twice. A body of more than maxResponseBytes is an error, since a part
// of it would look complete.
func (a *answer) read(x *connector.Exchange) error {
	if x.Length > maxResponseBytes {
		return limitreader.ErrTooLong
	}
	first := int64(readBufferBytes)
	if x.Length >= 0 {
		first = min(ownBufferBytes, x.Length+1) // one byte of space for the read that returns io.EOF
	}
	p := make([]byte, 0, first)
	for {
		n, err := x.Read(p[len(p):cap(p)])
		p = p[:len(p)+n]
		a.size += int64(n)
		switch {
		case err == io.EOF:
			a.pieces = append(a.pieces, p)
			return nil
		case err != nil:
			return errors.Trace(err)
		case a.size > maxResponseBytes:
			return limitreader.ErrTooLong
		case len(p) == cap(p):
			if err := a.buffered.Reserve(ownBufferBytes); err != nil {
				return err
			}
			a.pieces = append(a.pieces, p)
			p = make([]byte, 0, ownBufferBytes)
		}
	}
}
