package relayer

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// maxSends bounds how often one request is sent, refusals included.
	maxSends = 4
	// leastRemaining is the time below which nothing is sent any more: a round
	// trip and the shortest work don't fit.
	leastRemaining = 15 * time.Millisecond
	// fullPause keeps work from an upstream that had no room or carried out an
	// order.
	fullPause = 150 * time.Millisecond
	// youngProof is the age of the proof up to which a route or key that isn't
	// there is denied; with an older one it may have been added since.
	youngProof = 1800 * time.Millisecond
	// pickPause is the time between two looks for an upstream.
	pickPause = 15 * time.Millisecond
	// holdShare is the part of the objective that a request may wait for an
	// upstream.
	holdShare = 8
	// answerBytes bounds a whole answer.
	answerBytes = 16 << 20
	// patience bounds the wait for the first event of a stream that may be
	// started again elsewhere, in objectives.
	patience = 3
	// plainPatience is the same for safe requests.
	plainPatience = 2.5
	streamType    = "text/event-stream"
	// namingSlack covers the time until this node hears of the naming of weights.
	namingSlack = 500 * time.Millisecond
)

// run is one request on its way.
type run struct {
	r   *Relayer
	ctx context.Context // ends when the caller leaves or its time is over
	req *Request
	w   ResponseWriter

	view      *View
	route     *traffic.Route
	workspace *traffic.Workspace
	service   string
	deadline  time.Time

	exclude []string
	sends   int // attempts that reached an upstream
	runs    int // of these, the ones that may have been run
	began   bool
	last    string // last event passed on
	choice  placer.Choice
	advised bool   // the choice is that of the node in charge
	adviser string // who gave the last advice, or knew of no room; empty for nobody
	first   bool   // the current attempt has given its first event
	sentAt  time.Time
	firstIn time.Duration // from the last send to its first event
	begunAt time.Time     // when the answer began to be passed on
	// expected is how long the request was expected to take when that was last
	// asked, at a node that stops; 0 for not known.
	expected time.Duration
	reason   string
}

func (u *run) serve() {
	u.last = u.req.LastEventID
	k := u.admit()
	if k != failure.None {
		u.refuse(k, u.returnAfter(k))
		return
	}
	ctx, cancel := context.WithDeadline(u.ctx, u.deadline)
	defer cancel()
	u.ctx = ctx
	u.r.count(u.service)
	for u.attempt() {
	}
}

// count tells the budget of a service about a request.
func (r *Relayer) count(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).RecordRequest(r.Clock.Now())
}

// attempt sends the request once and reports whether to try again.
func (u *run) attempt() bool {
	q, ok := u.pick()
	if !ok {
		return false
	}
	u.first = false
	x, outcome, err := u.send(&q)
	switch outcome {
	case connector.NotSent:
		return u.unreachable(err)
	case connector.Broken:
		u.sends++
		u.runs++
		return u.broken(err)
	}
	u.sends++
	defer x.Close()
	u.lives()
	a := u.r.Dialect.ParseResponse(x.Status, x.Header)
	switch {
	case a.NotRun || a.Misdirected:
		return u.refused(x, a)
	case !a.Stamped:
		u.runs++
		return u.broken(errors.Errorf("answer with status %d is not marked as the upstream's own", x.Status))
	}
	u.runs++
	if u.req.Prompt != nil && a.Version > 0 {
		u.observe(a.Version)
	}
	if x.Status == http.StatusOK && u.route.Kind == traffic.Streaming && strings.HasPrefix(x.Header.Get("Content-Type"), streamType) {
		return u.stream(x)
	}
	return u.whole(x)
}

func (u *run) observe(version int) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordVersion(u.choice.Incarnation(), u.req.Prompt.Model, version)
}

func (u *run) send(q *placer.Query) (*connector.Exchange, connector.Outcome, error) {
	remaining := u.deadline.Sub(u.r.Clock.Now())
	a := Attempt{Remaining: remaining, Upstream: u.choice.Upstream.ID, Priority: -1, LastEventID: u.last}
	if u.workspace != nil {
		a.Workspace = u.workspace.Name
	}
	if q.Prompt != nil {
		a.Version = u.choice.Version
		a.Salt = salt(q.Prompt.Model, a.Version, q.CacheScope)
		a.Priority = u.priority()
		a.Source, a.SaveTo = u.choice.Source, u.choice.SaveTo
	}
	id := u.req.ID
	u.sentAt = u.r.Clock.Now()
	return u.r.Connector.Open(u.ctx, &connector.Call{
		Address: u.choice.Upstream.Address, Incarnation: u.choice.Incarnation(),
		Method: u.req.Method, Target: u.req.Target, Host: u.req.Host,
		Head: u.r.Dialect.AppendHeader(nil, u.req, &a), Body: u.req.Body,
		Fresh: !u.route.Repeatable(), FirstByteTimeout: min(u.firstByte(remaining), u.mayBegin(q)),
		Matches: func(h connector.Header) bool { return u.r.Dialect.ParseResponse(0, h).RequestID == id },
	})
}

// salt keeps apart what must not be shared: other weights, and the prompts of
// isolated workspaces.
func salt(model string, version int, wall string) string {
	return model + "." + strconv.Itoa(version) + "." + wall
}

// priority maps the ranks of workspaces and routes to those of engines.
func (u *run) priority() int {
	const most = 9
	if u.workspace != nil && u.workspace.HasPriority {
		return min(most, max(0, 2*u.workspace.Priority+min(1, u.route.Priority)))
	}
	return min(most, max(0, 2*u.route.Priority))
}

// mayBegin returns for how long the request may still begin on the weights that
// the engine is believed to have. After that it is taken back.
func (u *run) mayBegin(q *placer.Query) time.Duration {
	left := time.Duration(math.MaxInt64)
	for _, l := range q.Cutoffs {
		if u.choice.Version < l.Version {
			left = min(left, l.Remaining-namingSlack)
		}
	}
	return left
}

func (u *run) lives() {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordActivity(u.r.Clock.Now(), u.choice)
}

// firstByte bounds the wait for an answer's start. A request that can't be
// sent again is waited for until its time is over.
func (u *run) firstByte(remaining time.Duration) time.Duration {
	if !u.mayRepeat(1) {
		return remaining
	}
	objectives := float64(patience)
	if u.route.Kind == traffic.Safe {
		objectives = plainPatience
	}
	return min(remaining, time.Duration(objectives*float64(u.route.LatencyObjective)))
}

// mayRepeat reports whether the request may be run again after pending more
// runs.
func (u *run) mayRepeat(pending int) bool {
	return u.route.Repeatable() && u.runs+pending < max(1, u.route.MaxAttempts)
}

func (u *run) release(f func(p *placer.Placer, c placer.Choice)) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordEnd(u.choice, u.first)
	f(u.r.placer, u.choice)
}

// unreachable goes on after an attempt of which nothing was sent.
func (u *run) unreachable(err error) bool {
	gone := u.ctx.Err() != nil
	u.release(func(p *placer.Placer, c placer.Choice) {
		if !gone {
			p.RecordUnreachable(u.r.Clock.Now(), c)
		}
	})
	u.exclude = append(u.exclude, u.choice.Incarnation())
	u.log("attemptNotSent").WithError(err).Info("no connection to the upstream")
	if len(u.exclude) > maxSends {
		u.reason = "too many upstreams can't be reached"
		u.fail(failure.NoUpstream)
		return false
	}
	return true
}

// refused goes on after the upstream said that it didn't run the request.
func (u *run) refused(x *connector.Exchange, a ResponseInfo) bool {
	now := u.r.Clock.Now()
	other := a.Misdirected && a.Upstream != "" && a.Upstream != u.choice.Upstream.ID
	u.release(func(p *placer.Placer, c placer.Choice) {
		switch {
		case other:
			p.RecordUnreachable(now, c)
		case a.Misdirected && u.req.Prompt != nil && a.Version > c.Version:
			p.RecordVersion(c.Incarnation(), u.req.Prompt.Model, a.Version)
		default:
			p.Suspend(c.Incarnation(), now.Add(fullPause))
		}
	})
	if err := x.Drain(); err != nil {
		u.log("refusalUnread").WithError(err).Debug("refusal without its end")
	}
	u.log("attemptRefused").WithFields(logrus.Fields{
		"status": x.Status, "misdirected": a.Misdirected, "answeredBy": a.Upstream, "answeredVersion": a.Version,
	}).Info("the upstream did not run the request")
	if u.sends >= maxSends {
		u.reason = "refused by every upstream tried"
		u.fail(failure.NoUpstream)
		return false
	}
	if other {
		u.exclude = append(u.exclude, u.choice.Incarnation())
	}
	return true
}

// broken goes on after an attempt that may have been run has ended early.
func (u *run) broken(err error) bool {
	gone := u.ctx.Err() != nil
	u.release(func(p *placer.Placer, c placer.Choice) {
		if !gone {
			p.RecordFailure(u.r.Clock.Now(), c)
		}
	})
	u.log("attemptBroken").WithError(err).WithField("callerGone", gone && !u.cutOff()).Info("the attempt ended early")
	if gone || !u.mayRepeat(0) || u.sends >= maxSends {
		u.reason = "the upstream broke off"
		u.fail(failure.UpstreamFailed)
		return false
	}
	u.exclude = append(u.exclude, u.choice.Incarnation())
	return true
}

// whole passes on an answer in one piece.
func (u *run) whole(x *connector.Exchange) bool {
	if err := x.SetReadTimeout(max(leastRemaining, u.deadline.Sub(u.r.Clock.Now()))); err != nil {
		return u.broken(errors.Annotate(err, "read the answer"))
	}
	held := share{room: &u.r.room}
	defer held.free()
	pieces, size, err := readWhole(x, &held)
	if err != nil {
		return u.broken(errors.Annotate(err, "read the answer"))
	}
	failed := x.Status >= http.StatusInternalServerError
	u.release(func(p *placer.Placer, c placer.Choice) {
		if failed {
			p.RecordFailure(u.r.Clock.Now(), c)
			return
		}
		p.RecordSuccess(c)
		u.pace()
	})
	if failed && !u.began && u.mayRepeat(0) && u.sends < maxSends && u.canRepeat() {
		u.exclude = append(u.exclude, u.choice.Incarnation())
		u.log("answerFailed").WithField("status", x.Status).Info("the upstream failed; the request is repeated")
		return true
	}
	if u.began { // a stream was to go on
		u.reason = "the upstream answered the resumption with status " + strconv.Itoa(x.Status)
		u.fail(failure.StreamLost)
		return false
	}
	u.w.Begin(x.Status, x.Header, size)
	for _, p := range pieces {
		if err = u.w.Write(p); err != nil {
			break
		}
	}
	u.answered(x.Status, err)
	return false
}

// readWhole reads a body to its end, into pieces so that nothing is held twice.
// A body of more than answerBytes is an error, since a part of it would look
// complete.
func readWhole(x *connector.Exchange, held *share) (pieces [][]byte, size int64, err error) {
	if x.Length > answerBytes {
		return nil, 0, limitreader.ErrTooLong
	}
	first := int64(readBytes)
	if x.Length >= 0 {
		first = min(ownBytes, x.Length+1) // the end shows in the byte after the last
	}
	p := make([]byte, 0, first)
	for {
		n, err := x.Read(p[len(p):cap(p)])
		p = p[:len(p)+n]
		size += int64(n)
		switch {
		case err == io.EOF:
			return append(pieces, p), size, nil
		case err != nil:
			return nil, 0, errors.Trace(err)
		case size > answerBytes:
			return nil, 0, limitreader.ErrTooLong
		case len(p) == cap(p):
			if err := held.take(ownBytes); err != nil {
				return nil, 0, err
			}
			pieces = append(pieces, p)
			p = make([]byte, 0, ownBytes)
		}
	}
}

// canRepeat reports whether a repeat would find an upstream, the time and the budget
// for it, so that an answer at hand isn't given up for nothing.
func (u *run) canRepeat() bool {
	now := u.r.Clock.Now()
	if u.deadline.Sub(now) < u.route.LatencyObjective/2 || !u.begins(now) {
		return false
	}
	q := u.query()
	q.Exclude = append(q.Exclude[:len(q.Exclude):len(q.Exclude)], u.choice.Incarnation())
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	_, ok := u.r.placer.Pick(now, &q)
	return ok && u.r.budget(u.service).Available(now, u.view.Nodes)
}
