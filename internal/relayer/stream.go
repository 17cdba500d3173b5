package relayer

import (
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

const (
	readBytes = 4 << 10
	// eventBytes bounds one event.
	eventBytes = 1 << 20
	// pauses is after how many objectives between events a stream that may be
	// resumed is given up; callers wait for four times as long.
	pauses = 3
	// leastPause keeps a busy core or a preempted run from being given up.
	leastPause = 1500 * time.Millisecond
)

// stream passes the events on as they arrive, whole ones only, so that another
// engine can go on after the last one.
func (u *run) stream(x *connector.Exchange) bool {
	if err := x.SetReadTimeout(u.between()); err != nil {
		return u.brokenStream(err)
	}
	held := share{room: &u.r.room}
	defer held.free()
	buf := make([]byte, 0, readBytes)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= eventBytes {
				return u.brokenStream(errors.NotValidf("event of over %d bytes", eventBytes))
			}
			if cap(buf) >= ownBytes {
				if err := held.take(cap(buf)); err != nil {
					return u.brokenStream(err)
				}
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := x.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end := lastEventEnd(buf)
		if end > 0 {
			if werr := u.pass(x, buf[:end]); werr != nil {
				return u.callerLost(werr)
			}
			buf = buf[:copy(buf, buf[end:])]
			if cap(buf) > ownBytes && len(buf) < readBytes {
				buf = append(make([]byte, 0, readBytes), buf...)
				held.free()
			}
		}
		switch {
		case err == io.EOF && len(buf) > 0:
			return u.brokenStream(errors.New("stream ends within an event"))
		case err == io.EOF:
			u.finish(x)
			return false
		case err != nil:
			return u.brokenStream(err)
		case end > 0: // only whole events show that the stream goes on
			if err := x.SetReadTimeout(u.between()); err != nil {
				return u.brokenStream(err)
			}
		}
	}
}

func (u *run) between() time.Duration {
	remaining := max(leastRemaining, u.deadline.Sub(u.r.Clock.Now()))
	if !u.mayRepeat(0) {
		return remaining
	}
	return min(remaining, max(leastPause, pauses*u.route.PauseObjective))
}

// pass writes whole events to the caller.
func (u *run) pass(x *connector.Exchange, events []byte) error {
	now := u.r.Clock.Now()
	u.r.mu.Lock()
	u.r.placer.RecordActivity(now, u.choice)
	if !u.first {
		u.r.placer.RecordFirstEvent(u.choice)
	}
	u.r.mu.Unlock()
	if !u.first {
		u.first = true
		u.firstIn = now.Sub(u.sentAt)
	}
	if !u.began {
		u.began, u.begunAt = true, now
		u.recorder().FirstToken(u.r.Clock.Now().Sub(u.req.Arrived))
		u.w.Begin(x.Status, x.Header, -1)
	}
	if id := lastID(events); id != "" {
		u.last = id
	}
	return u.w.Write(events)
}

func (u *run) finish(x *connector.Exchange) {
	u.release(func(p *placer.Placer, c placer.Choice) {
		p.RecordSuccess(c)
		u.pace()
	})
	if !u.began {
		u.w.Begin(x.Status, x.Header, -1)
	}
	u.answered(x.Status, nil)
}

// brokenStream goes on after a stream that was cut.
func (u *run) brokenStream(err error) bool { return u.broken(errors.Annotate(err, "read the stream")) }

func (u *run) callerLost(err error) bool {
	u.release(func(*placer.Placer, placer.Choice) {})
	u.reason = err.Error()
	u.fail(failure.CallerGone)
	return false
}

// lastEventEnd returns the length of the whole events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastID returns the id of the last event in b, empty if none has one.
func lastID(b []byte) string {
	for len(b) > 0 {
		i := bytes.LastIndex(b, []byte("id:"))
		if i < 0 {
			return ""
		}
		if i == 0 || b[i-1] == '\n' {
			line, _, _ := bytes.Cut(b[i+len("id:"):], []byte("\n"))
			return strings.TrimSpace(string(line))
		}
		b = b[:i]
	}
	return ""
}
