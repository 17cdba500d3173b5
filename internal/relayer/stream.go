package relayer

import (
	"bytes"
	"cmp"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

const (
	readBufferBytes = 4 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
	// eventPauseObjectives is how long an engine may be silent between two events of a
	// stream that may be resumed elsewhere, in pause objectives. Callers wait four
	// times as long.
	eventPauseObjectives = 3
	// minEventPatience is the shortest such time, so that a stream isn't moved
	// because of a busy core or a preempted request.
	minEventPatience = 1500 * time.Millisecond
)

// relayStream forwards events as they arrive, and reports whether to make another
// attempt. It forwards only complete events, so that another engine can resume
// after the last one.
func (u *relay) relayStream(x *connector.Exchange) bool {
	if err := x.SetReadTimeout(max(minRemaining, u.deadline.Sub(u.r.Clock.Now()))); err != nil {
		return u.handleBrokenStream(err)
	}
	u.watchStream()
	buffered := u.r.Memory.Response()
	defer buffered.Release()
	buf := make([]byte, 0, readBufferBytes)
	empty := true
	resumes := u.responseStarted // until the first event has been checked
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEventBytes {
				return u.handleBrokenStream(errors.NotValidf("event of more than %d bytes", maxEventBytes))
			}
			if cap(buf) >= ownBufferBytes {
				if err := buffered.Reserve(int64(cap(buf))); err != nil {
					return u.handleBrokenStream(err)
				}
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := x.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end := lastEventEnd(buf)
		events := parseEvents(buf[:end])
		if resumes && events.any {
			if !follows(u.lastEventID, events.firstID) {
				return u.handleBrokenStream(errors.NotValidf("resumption after event %q with event %.40q", u.lastEventID, events.firstID))
			}
			resumes = false
		}
		empty = empty && !events.any
		if end > 0 {
			if werr := u.writeEvents(x, buf[:end], events); werr != nil {
				return u.handleCallerGone(werr)
			}
			buf = buf[:copy(buf, buf[end:])]
			if cap(buf) > ownBufferBytes && len(buf) < readBufferBytes {
				buf = append(make([]byte, 0, readBufferBytes), buf...)
				buffered.Release()
			}
		}
		switch {
		case err == io.EOF && len(buf) > 0:
			return u.handleBrokenStream(errors.Annotate(io.ErrUnexpectedEOF, "stream ended within an event"))
		case err == io.EOF && empty && x.EndsWithConnection:
			return u.handleBrokenStream(errors.Annotate(io.ErrUnexpectedEOF, "stream ended before its first event"))
		case err == io.EOF:
			u.finishStream(x)
			return false
		case err != nil:
			return u.handleBrokenStream(err)
		case events.any: // comments are no sign of progress, nor are incomplete events
			u.watchStream()
		}
	}
}

// watchStream watches the engine for silence from now on, unless no other engine could
// resume the stream after the last event.
func (u *relay) watchStream() {
	if !u.mayRetry(0) {
		u.silence.disarm()
		return
	}
	u.silence.arm(u, u.eventPatience())
}

func (u *relay) eventPatience() time.Duration {
	return max(minEventPatience, eventPauseObjectives*u.route.PauseObjective)
}

// writeEvents forwards complete events to the caller.
func (u *relay) writeEvents(x *connector.Exchange, b []byte, events eventSummary) error {
	now := u.r.Clock.Now()
	u.recordEvent(now, events.any)
	if events.any {
		if !u.enginePausedSince.IsZero() {
			u.longestEnginePause = max(u.longestEnginePause, now.Sub(u.enginePausedSince))
		}
		u.enginePausedSince = now
	}
	if u.responseStarted {
		u.longestPause = max(u.longestPause, now.Sub(u.lastEventAt))
	}
	u.lastEventAt = now
	if !u.responseStarted {
		u.responseStarted, u.responseStartedAt = true, now
		u.recorder().RecordFirstToken(u.r.Clock.Now().Sub(u.req.Arrived))
		u.w.Begin(x.Status, x.Header, -1)
	}
	if events.any {
		u.lastEventID, u.resumable = cmp.Or(events.lastID, u.lastEventID), events.endsWithID
	}
	u.silence.pause()
	defer u.silence.resume()
	err := u.w.Write(b)
	if !u.enginePausedSince.IsZero() { // a caller that reads slowly says nothing of the engine
		u.enginePausedSince = u.enginePausedSince.Add(u.r.Clock.Now().Sub(now))
	}
	return err
}

// recordEvent records that events have arrived, or only comments unless isEvent is set.
func (u *relay) recordEvent(now time.Time, isEvent bool) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordActivity(now, u.choice)
	if !u.firstEventSeen {
		u.firstEventSeen = true
		u.timeToFirstEvent = now.Sub(u.sentAt)
		u.r.placer.RecordFirstEvent(u.choice)
	}
	if isEvent && !u.firstEventSampled {
		u.firstEventSampled = true
		if u.req.Prompt != nil && u.lastEventID == "" {
			u.r.placer.SampleFirstEvent(now, u.choice, now.Sub(u.sentAt))
		}
	}
}

func (u *relay) finishStream(x *connector.Exchange) {
	u.endAttempt(func(p *placer.Placer, c placer.Choice) {
		p.RecordSuccess(c)
		u.recordDuration()
		if u.firstEventSeen {
			u.recordSuccess()
		}
		if u.req.Prompt != nil && u.sends == 1 && u.route.PauseObjective > 0 {
			p.SamplePauses(u.r.Clock.Now(), c, u.longestEnginePause > u.route.PauseObjective)
		}
	})
	if !u.responseStarted {
		u.w.Begin(x.Status, x.Header, -1)
	}
	u.recordResponse(x.Status, nil)
}

// handleBrokenStream handles a stream that ended early, and reports whether to
// make another attempt.
func (u *relay) handleBrokenStream(err error) bool {
	return u.handleBroken(errors.Annotate(err, "read stream"))
}

func (u *relay) handleCallerGone(err error) bool {
	u.endAttempt(func(*placer.Placer, placer.Choice) {})
	u.reason = err.Error()
	u.fail(failure.CallerGone)
	return false
}

// lastEventEnd returns the total length of the complete events at the start of b.
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

// eventSummary describes complete events.
type eventSummary struct {
	// any is set if there is a line that isn't a comment. An engine that has stalled may
	// go on sending comments.
	any bool
	// firstID is the ID of the first event, empty if it has none. lastID is that of the
	// last event with an ID, which is the last event if endsWithID is set.
	firstID, lastID string
	endsWithID      bool
}

func parseEvents(b []byte) eventSummary {
	var s eventSummary
	var id, lastID []byte
	inEvent := false
	for line := range bytes.Lines(b) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && inEvent:
			if !s.any {
				s.any, s.firstID = true, string(id)
			}
			if s.endsWithID = len(id) > 0; s.endsWithID {
				lastID = id
			}
			inEvent, id = false, nil
		case len(line) == 0 || line[0] == ':':
		default:
			inEvent = true
			if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				id = bytes.TrimSpace(v)
			}
		}
	}
	s.lastID = string(lastID)
	return s
}

// follows reports whether an event may be the first one of a resumption after another
// event. IDs increase if they are numbers.
func follows(last, next string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return next != "" && next != last
	}
	b, err := strconv.ParseUint(next, 10, 64)
	return err == nil && b > a
}
