package relayer

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// maxSends is how often one request may be sent, including sends that the
	// upstream refuses.
	maxSends = 4
	// minRemaining is the shortest time to the deadline at which a request is
	// still sent: less is not enough for a round trip and the shortest request.
	minRemaining = 15 * time.Millisecond
	// refusalPause is how long an upstream is suspended after it refused a request
	// because it was full or was executing an order.
	refusalPause = 150 * time.Millisecond
	// maxDenialProofAge is the maximum age of the freshness proof at which an
	// unknown route or key is denied. With an older proof, the route or key may
	// have been added since.
	maxDenialProofAge = 1800 * time.Millisecond
	// pickInterval is the time between two attempts to select an upstream.
	pickInterval = 15 * time.Millisecond
	// pickWaitDivisor divides the latency objective: the quotient is how long a
	// request may wait for an upstream.
	pickWaitDivisor = 8
	// maxResponseBytes is the maximum size of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// ownBufferBytes is how much each response may buffer without a reservation. Usual
	// responses and events need less, and hundreds at once fit into a node.
	ownBufferBytes = 32 << 10
	// firstEventObjectives is how long an upstream may be silent before the first
	// event of a stream that may be retried at another one, in latency objectives.
	firstEventObjectives = 3
	// safeResponseObjectives is the same for the response to a safe request.
	safeResponseObjectives = 2.5
	eventStreamType        = "text/event-stream"
	// announcementSlack covers the time until this node receives the announcement
	// of a new version.
	announcementSlack = 500 * time.Millisecond
)

// relay is the state of one request.
type relay struct {
	r   *Relayer
	ctx context.Context // done when the caller disconnects or the deadline passes
	req *Request
	w   ResponseWriter

	view      *View
	route     *traffic.Route
	features  []detector.Feature
	workspace *traffic.Workspace
	proven    bool // the configuration was proved to be recent when workspace was set
	service   string
	deadline  time.Time

	exclude          []string
	unreachable      []unreachable // those of exclude to which no connection could be opened
	redialUntil      time.Time     // set once one of them is tried again
	sends            int           // attempts of which something was sent
	runs             int           // sends that may have been run
	responseStarted  bool
	lastEventID      string // ID of the last event forwarded that has one
	resumable        bool   // the last event forwarded has an ID
	choice           placer.Choice
	running          bool    // the request counts as running at the chosen upstream
	kept             *answer // failure of an upstream, for the case that no retry has an answer
	advised          bool    // the choice follows the advice of the placement coordinator
	adviser          string  // node that answered the last question, if any
	firstEventSeen   bool    // the current attempt has returned its first event
	sentAt           time.Time
	timeToFirstEvent time.Duration // from the last send to its first event
	lastEventAt      time.Time     // when the last events were forwarded
	longestPause     time.Duration // between two events of the response
	// firstEventSampled is set once the current attempt has returned an event that isn't a comment.
	firstEventSampled bool
	// enginePausedSince is when the engine sent its last event that isn't a comment, later by the
	// time that the caller took for what was forwarded since. longestEnginePause is the longest
	// pause between two of them, without that time.
	enginePausedSince  time.Time
	longestEnginePause time.Duration
	responseStartedAt  time.Time // when forwarding of the response started
	// expectedDuration is the latest estimate, during graceful shutdown, of how
	// long the request takes; 0 if unknown.
	expectedDuration time.Duration
	silence          *silenceWatch // of the current attempt
	// turnedAwayFor is how long all upstreams want no requests of this node, if that is why
	// the request ends.
	turnedAwayFor time.Duration
	limited       refusal // if the workspace's limit is why the request ends
	hedge         string  // outcome of the hedged attempt, empty for none
	reason        string
}

func (u *relay) serve() {
	u.lastEventID = u.req.LastEventID
	defer u.refund()
	k := u.admit()
	if k == failure.None {
		k = u.admitLimited()
	}
	if k != failure.None {
		u.refuse(k, u.retryAfter(k))
		return
	}
	u.features = requestFeatures(u.req, u.workspaceName())
	ctx, cancel := context.WithDeadline(u.ctx, u.deadline)
	defer cancel()
	u.ctx = ctx
	defer u.keep(nil)
	defer u.endRun() // after a panic
	u.r.recordRequest(u.service)
	for u.attempt() {
	}
}

// recordRequest counts a request for the retry budget of its service, and for its share of
// hedged attempts.
func (r *Relayer) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.retryBudget(service).RecordRequest(now)
	r.hedger.RecordRequest(now, service)
}

// attempt sends the request, to two upstreams if it is hedged, and reports whether to make
// another attempt.
func (u *relay) attempt() bool {
	q, ok := u.pickUpstream()
	if !ok {
		return false
	}
	u.firstEventSeen, u.firstEventSampled = false, false
	u.silence = newSilenceWatch(u.ctx, u.r.Clock)
	defer func() { u.silence.end() }() // of the hedged attempt if that has won
	x, outcome, err := u.open(&q)
	u.silence.disarm()
	switch outcome {
	case connector.NotSent:
		return u.handleUnreachable(err)
	case connector.Broken:
		u.sends++
		u.runs++
		return u.handleBroken(err)
	}
	u.sends++
	defer x.Close()
	u.recordActivity()
	a := u.r.Dialect.ParseResponse(x.Status, x.Header)
	u.recordAvailability(a)
	switch {
	case a.NotRun || a.Misdirected:
		return u.handleRefusal(x, a)
	case !a.Stamped:
		u.runs++
		return u.handleBroken(errUnstamped(x.Status))
	}
	u.runs++
	if !u.mayRetry(0) {
		u.req.dropBody()
	}
	if u.req.Prompt != nil && a.Version > 0 {
		u.recordVersion(a.Version)
	}
	if u.isEventStream(x) {
		return u.relayStream(x)
	}
	return u.relayWhole(x)
}

func errUnstamped(status int) error {
	return errors.Errorf("response with status %d has no stamp of the upstream", status)
}

func (u *relay) isEventStream(x *connector.Exchange) bool {
	return x.Status == http.StatusOK && u.route.Kind == traffic.Streaming && strings.HasPrefix(x.Header.Get("Content-Type"), eventStreamType)
}

func (u *relay) recordVersion(version int) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordVersion(u.choice.Incarnation(), u.req.Prompt.Model, version)
}

func (u *relay) send(q *placer.Query) (*connector.Exchange, connector.Outcome, error) {
	remaining := u.deadline.Sub(u.r.Clock.Now())
	a := Attempt{
		Remaining: remaining, Upstream: u.choice.Upstream.ID, Workspace: u.workspaceName(),
		Priority: -1, LastEventID: u.lastEventID,
	}
	if q.Prompt != nil {
		a.Version = u.choice.Version
		a.Salt = cacheSalt(q.Prompt.Model, a.Version, q.CacheScope)
		a.Priority = u.priority()
		if a.Version > 0 { // the salt tells apart only versions that are known
			a.Source, a.SaveTo = u.choice.Source, u.choice.SaveTo
		}
	}
	id := u.req.ID
	u.sentAt = u.r.Clock.Now()
	return u.r.Connector.Open(u.silence.ctx, &connector.Call{
		Address: u.choice.Upstream.Address, Incarnation: u.choice.Incarnation(),
		Method: u.req.Method, Target: u.req.Target, Host: u.req.Host,
		Head: u.r.Dialect.AppendHeader(nil, u.req, &a), Body: u.req.Body,
		Fresh: !u.route.Repeatable(), New: u.sends > 0 || id == "", Permit: u.beginSend, FirstByteTimeout: min(remaining, u.untilVersionCutoff(q)),
		Matches: func(h connector.Header) bool { return u.r.Dialect.ParseResponse(0, h).RequestID == id },
	})
}

// errNotPermitted reports a request that was not sent, since it may no longer be.
const errNotPermitted = errors.ConstError("request may no longer be sent to the upstream")

// permit returns an error if the request must not be sent to the chosen upstream any
// more. It is called right before the send: the process may have been suspended since the
// upstream was chosen, and a key or the upstream may have been taken away meanwhile, or the
// key may belong to another workspace.
func (u *relay) permit() error {
	service, workspace, scope := u.service, u.workspaceName(), u.cacheScope()
	if u.checkSend() != failure.None || u.service != service || u.workspaceName() != workspace || u.cacheScope() != scope {
		return errNotPermitted
	}
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	now := u.r.Clock.Now()
	// Of several requests that wait for the same trial, one is sent.
	if !u.r.placer.MaySend(now, u.choice.Incarnation()) || u.r.detector.Rejects(now, u.features) {
		return errNotPermitted
	}
	u.r.detector.RecordSend(now, u.features)
	return nil
}

// beginSend is permit, and starts to watch the upstream for silence.
func (u *relay) beginSend() error {
	if err := u.permit(); err != nil {
		return err
	}
	u.watchUnanswered(u.firstBytePatience())
	return nil
}

// watchUnanswered watches the upstream of an attempt that isn't counted in u yet.
func (u *relay) watchUnanswered(patience time.Duration) {
	if !u.mayRetry(1) {
		u.silence.disarm()
		return
	}
	sent := *u
	sent.sends, sent.runs = u.sends+1, u.runs+1 // as if the attempt had failed
	u.silence.arm(&sent, patience)
}

// priority maps the priorities of the workspace and the route to a priority of
// the engines.
func (u *relay) priority() int {
	const most = 9
	if u.workspace != nil && u.workspace.HasPriority {
		return min(most, max(0, 2*u.workspace.Priority+min(1, u.route.Priority)))
	}
	return min(most, max(0, 2*u.route.Priority))
}

// untilVersionCutoff returns how long the request may still start on the version
// that the engine is expected to have. After that the attempt is canceled.
func (u *relay) untilVersionCutoff(q *placer.Query) time.Duration {
	left := time.Duration(math.MaxInt64)
	for _, l := range q.Cutoffs {
		if u.choice.Version < l.Version {
			left = min(left, l.Remaining-announcementSlack)
		}
	}
	return left
}

func (u *relay) recordActivity() {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.r.placer.RecordActivity(u.r.Clock.Now(), u.choice)
}

// firstBytePatience is how long the upstream may be silent before the first byte of a
// response to a request that can be retried.
func (u *relay) firstBytePatience() time.Duration {
	objectives := float64(firstEventObjectives)
	if u.route.Kind == traffic.Safe {
		objectives = safeResponseObjectives
	}
	return time.Duration(objectives * float64(u.route.LatencyObjective))
}

// mayRetry reports whether the request may be run again after the runs so far and
// pending more.
func (u *relay) mayRetry(pending int) bool {
	return u.route.Repeatable() && u.runs+pending < max(1, u.route.MaxAttempts) && (!u.responseStarted || u.resumable)
}

func (u *relay) endAttempt(f func(p *placer.Placer, c placer.Choice)) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	u.running = false
	u.r.placer.RecordEnd(u.choice, u.firstEventSeen)
	f(u.r.placer, u.choice)
}

// endRun ends an attempt at hand.
func (u *relay) endRun() {
	if u.running {
		u.endAttempt(func(*placer.Placer, placer.Choice) {})
	}
}

// handleUnreachable handles an attempt of which nothing was sent and reports
// whether to make another one.
func (u *relay) handleUnreachable(err error) bool {
	u.recordUnreachable(err)
	if errors.Is(err, errNotPermitted) {
		return true // the check before the next attempt tells why
	}
	u.exclude = append(u.exclude, u.choice.Incarnation())
	u.unreachable = append(u.unreachable, unreachable{incarnation: u.choice.Incarnation(), at: u.r.Clock.Now()})
	if len(u.exclude) > maxSends {
		u.reason = "too many upstreams are unreachable"
		u.fail(failure.NoUpstream)
		return false
	}
	return true
}

// handleRefusal handles a response that reports that the upstream didn't run
// the request. It returns whether to make another attempt.
func (u *relay) handleRefusal(x *connector.Exchange, a ResponseInfo) bool {
	u.recordRefusal(x.Status, a)
	if err := x.Drain(); err != nil {
		u.logEntry("refusalUnread").WithError(err).Debug("refusal response could not be read to its end")
	}
	if u.sends >= maxSends {
		u.reason = "all upstreams tried refused the request"
		u.fail(failure.NoUpstream)
		return false
	}
	if u.isOtherUpstream(a) {
		u.exclude = append(u.exclude, u.choice.Incarnation())
	}
	return true
}

// handleBroken handles an attempt that ended early and may have been run, and
// reports whether to make another one.
func (u *relay) handleBroken(err error) bool {
	u.recordBroken(err)
	if u.ctx.Err() != nil || !u.mayRetry(0) || u.sends >= maxSends {
		u.reason = "upstream failed before the response was complete"
		u.fail(failure.UpstreamFailed)
		return false
	}
	u.exclude = append(u.exclude, u.choice.Incarnation())
	return true
}

// canRetry reports whether a retry would find an upstream, enough time and retry
// budget. Otherwise the response at hand is kept.
func (u *relay) canRetry() bool {
	now := u.r.Clock.Now()
	if u.deadline.Sub(now) < u.route.LatencyObjective/2 || !u.mayFinish(now) {
		return false
	}
	q := u.placementQuery()
	q.Exclude = append(q.Exclude[:len(q.Exclude):len(q.Exclude)], u.choice.Incarnation())
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	c, ok := u.r.placer.Pick(now, &q)
	return ok && !u.queuedPastDeadline(now, c) && u.r.retryBudget(u.service).Available(now, u.view.Nodes)
}
