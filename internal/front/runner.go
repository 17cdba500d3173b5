package front

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/closer"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

const (
	maxAttempts         = 8
	maxEventBytes       = 1 << 20
	suspectReportDelay  = 250 * time.Millisecond // time for suspect reports of peers to arrive
	crashCheckTimeout   = 300 * time.Millisecond // for the load report after a broken attempt
	allMembers          = 1 << 16                // sample size that covers every member
	eventStreamType     = "text/event-stream"
	maxTimeoutDoublings = 3
)

// runner executes the actions of the dispatcher of one request.
type runner struct {
	f          *Front
	ctx        context.Context
	w          http.ResponseWriter
	controller *http.ResponseController
	log        logrus.FieldLogger
	job        *job
	catalog    *catalog.Catalog
	machine    *dispatcher.Dispatcher
	recorder   meter.Recorder

	next           func() // next step; nil if none is due
	admitted       bool
	cut            bool                  // the response has begun and can't be completed, since its caller is gone
	firstPick      *scheduler.PickResult // picked on admission; nil once used
	firstTokenAt   time.Time             // zero before the response has begun
	lastTokenAt    time.Time
	run            *scheduler.Run // nil while no attempt has an upstream
	choice         router.Choice  // of the last run
	send           dispatcher.Send
	reserved       bool // the scheduler has reserved the request, which is a suspect
	suspectWaited  bool // it has waited for the permission to run
	attemptStarted bool // the last Routed event caused a Send
	sentText       strings.Builder
	attempts       int                // number of attempts so far
	answer         *memorykeeper.Body // the response, unless it is streamed
	eventIDPrefix  string
	buf            []byte
}

func (f *Front) newRunner(w http.ResponseWriter, r *http.Request, j *job) *runner {
	req := dispatcher.Request{
		ID: j.id, Streaming: j.streaming, Repeatable: j.repeatable, Deadline: j.deadline,
		MaxAttempts: maxAttempts, Continuable: j.continuable,
	}
	if p := j.resume; p != nil {
		req.FromOffset = p.Offset + 1
		req.Resume = dispatcher.ResumePoint{
			Attempt: p.Attempt, Target: dispatcher.Target{Upstream: p.Upstream, Incarnation: p.Incarnation},
		}
		pool, _ := f.config.Current().PoolByName(j.pool)
		req.Continuable = pool.Deterministic
	}
	return &runner{
		f: f, ctx: r.Context(), w: w, controller: http.NewResponseController(w), job: j, catalog: f.config.Current(),
		log:     f.log.WithFields(logrus.Fields{"request": j.id, "workspace": j.workspace.Name, "class": j.class}),
		machine: dispatcher.New(req), recorder: f.meter.Recorder(j.workspace.Name, j.class),
	}
}

// serve executes the steps of the request until it ends.
func (r *runner) serve() {
	defer r.release()
	r.handle(dispatcher.Accepted{})
	for !r.machine.Done() {
		next := r.next
		r.next = nil
		if next == nil {
			r.fail(failure.Internal)
			return
		}
		next()
	}
}

// release releases the slot of the request, its first pick, if that was not used, and
// after a panic its run.
func (r *runner) release() {
	r.releaseAnswer()
	r.endRun(scheduler.Result{Refused: true})
	if r.firstPick != nil && r.firstPick.Found() {
		r.f.sched.RecordEnd(r.firstPick.Run, scheduler.Result{Refused: true})
	}
	if r.reserved || r.firstPick != nil && r.firstPick.Reserved {
		r.f.sched.CancelReservation(r.job.fingerprint)
	}
	if r.admitted {
		r.f.sched.ReleaseSlot(r.job.pool)
	}
}

func (r *runner) releaseAnswer() {
	if r.answer != nil {
		r.answer.Release()
		r.answer = nil
	}
}

func (r *runner) handle(e dispatcher.Event) {
	for _, a := range r.machine.Handle(r.f.clk.Now(), e) {
		r.perform(a)
	}
}

func (r *runner) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Enqueue:
		r.next = r.enqueue
	case dispatcher.Claim:
		r.next = r.claim
	case dispatcher.PollClaim:
		r.next = func() { clock.Sleep(r.ctx, r.f.clk, a.Delay); r.claim() }
	case dispatcher.Route:
		r.next = func() { r.route(a) }
	case dispatcher.Send:
		r.send, r.attemptStarted = a, true
		r.next = r.runAttempt
	case dispatcher.Cancel:
		// The engine notices the cancellation when its connection closes. It keeps
		// the attempt for a while in case it is resumed.
		r.log.WithFields(logrus.Fields{"event": "attemptCancelled", "attempt": a.Attempt}).Debug("attempt canceled")
	case dispatcher.Write:
		r.writeChunk(a)
	case dispatcher.Answer:
		r.writeAnswer(a.Answer)
	case dispatcher.Finish:
		r.finishStream()
	case dispatcher.Fail:
		r.fail(a.Kind)
	case dispatcher.Record:
		r.f.ledger.Finish(context.WithoutCancel(r.ctx), claimer.Finished{Key: r.job.claim.Key, Nonce: r.job.claim.Nonce, Answer: a.Answer})
	case dispatcher.Release:
		r.f.ledger.Release(context.WithoutCancel(r.ctx), claimer.Released{Key: r.job.claim.Key, Nonce: r.job.claim.Nonce})
	case dispatcher.CountDrop:
		r.f.meter.RecordStaleChunk()
	}
}

// callerGone reports whether the caller has closed its connection.
func (r *runner) callerGone() bool { return r.ctx.Err() != nil || closer.Disconnected(r.ctx) }

func (r *runner) enqueue() {
	j := r.job
	ctx, cancel := context.WithDeadline(r.ctx, j.deadline)
	defer cancel()
	a, err := r.admit(ctx, admitter.Request{
		Ticket: r.f.tickets.Add(1), Workspace: j.workspace.Name, Weight: float64(j.workspace.Weight), Class: j.class,
		Pool: j.pool, Tokens: j.tokens, Deadline: j.deadline,
		Rate: float64(j.workspace.TokensPerSecond), Burst: float64(j.workspace.BurstTokens),
	})
	switch {
	case r.callerGone():
		r.handle(dispatcher.CallerGone{})
	case err != nil:
		r.handle(dispatcher.Tick{})
	case a.Kind != failure.None:
		r.handle(dispatcher.Rejected{Kind: a.Kind})
	default:
		r.admitted, r.firstPick = true, a.First
		r.recorder.RecordQueueing(r.f.clk.Now().Sub(j.acceptedAt))
		r.handle(dispatcher.Admitted{})
	}
}

// admit waits for admission. It picks the first upstream in the same step, unless
// the request needs a claim first or resumes a stream at a known upstream.
func (r *runner) admit(ctx context.Context, req admitter.Request) (scheduler.Admission, error) {
	if !r.job.repeatable || r.job.resume != nil {
		return r.f.sched.Admit(ctx, req)
	}
	return r.f.sched.AdmitAndPick(ctx, req, r.routeQuery(nil), r.job.chain, r.job.fingerprint)
}

func (r *runner) routeQuery(exclude []string) router.Query {
	return router.Query{
		Pool: r.job.pool, RecomputeWeight: r.job.workspace.RecomputeWeight, Rank: admitter.Rank(r.job.class), Exclude: exclude,
	}
}

func (r *runner) claim() {
	if r.callerGone() {
		r.handle(dispatcher.CallerGone{})
		return
	}
	reply := r.f.ledger.Claim(context.WithoutCancel(r.ctx), r.job.claim)
	r.handle(dispatcher.Claimed{
		Outcome: reply.Outcome, Answer: reply.Answer, HolderAlive: r.f.ledger.HolderAlive(reply.Holder),
	})
}

func (r *runner) route(a dispatcher.Route) {
	if r.callerGone() { // a request that runs at most once hasn't run, since it would not be routed again
		r.handle(dispatcher.CallerGone{})
		return
	}
	// The key or the model may have been taken away while the request waited. A request
	// that has begun is finished.
	if k := r.f.permission(r.job); r.attempts == 0 && k != failure.None {
		r.handle(dispatcher.Routed{Kind: k})
		return
	}
	if a.Retry {
		r.f.meter.RecordRetry()
	}
	q, retry := r.routeQuery(slices.Concat(a.Exclude, r.f.pacer.Unavailable())), a.Retry
	for {
		p := r.pick(q, retry)
		switch {
		case p.Found() && !r.f.pacer.Allow(r.ctx, p.Run.Choice.ID):
			r.log.WithFields(logrus.Fields{"event": "upstreamRateReached", "upstream": p.Run.Choice.ID}).
				Info("upstream takes no more requests for now; looking for another one")
			r.f.sched.RecordEnd(p.Run, scheduler.Result{Refused: true})
			q.Exclude, retry = append(slices.Clone(q.Exclude), p.Run.Choice.ID), false // it is a retry only once
			continue
		case p.Quarantine:
			r.log.WithField("event", "requestQuarantined").Warn("request is in quarantine: it crashed too many upstreams")
			r.handle(dispatcher.Quarantined{})
		case p.Wait && r.f.clk.Now().Before(r.job.deadline) && r.ctx.Err() == nil:
			clock.Sleep(r.ctx, r.f.clk, suspectReportDelay)
			continue
		case p.Kind == failure.NoUpstream && r.fallback(&q):
			continue
		case p.Wait:
			r.handle(dispatcher.Routed{Kind: failure.NoUpstream})
		case p.Kind != failure.None:
			r.handle(dispatcher.Routed{Kind: p.Kind})
		default:
			run := p.Run
			r.run, r.choice, r.attemptStarted = &run, run.Choice, false
			r.handle(dispatcher.Routed{Target: dispatcher.Target{
				Upstream: run.Choice.ID, Incarnation: run.Choice.Incarnation, LeavesAt: run.Choice.LeavesAt,
			}})
			r.f.hinter.Add(hinter.Hint{
				Workspace: r.job.workspace.Name, Weight: r.job.workspace.Weight, Upstream: run.Choice.ID, Chain: r.job.chain,
			})
			if !r.attemptStarted {
				r.endRun(scheduler.Result{Refused: true})
			}
		}
		return
	}
}

// pick returns the upstream picked on admission, or else one that the scheduler
// picks now. A suspect runs only with the permission of its arbiter.
func (r *runner) pick(q router.Query, retry bool) scheduler.PickResult {
	var p scheduler.PickResult
	if first := r.firstPick; first != nil {
		r.firstPick, p = nil, *first
	} else {
		p = r.f.sched.Pick(q, r.job.chain, r.job.fingerprint, retry)
	}
	if !p.Reserved {
		return p
	}
	return r.pickSuspect(q, retry)
}

// pickSuspect picks an upstream for a request that the scheduler has reserved.
func (r *runner) pickSuspect(q router.Query, retry bool) scheduler.PickResult {
	r.reserved = true
	verdict := r.f.isolator.Ask(r.ctx, r.job.fingerprint)
	r.reserved = false
	if verdict == quarantiner.Wait {
		r.f.sched.CancelReservation(r.job.fingerprint)
		if !r.suspectWaited {
			r.suspectWaited = true
			r.log.WithField("event", "suspectWaits").Info("request may crash upstreams; waiting while another node runs it")
		}
		return scheduler.PickResult{Wait: true}
	}
	p := r.f.sched.PickReserved(q, r.job.chain, r.job.fingerprint, retry)
	if p.Found() && verdict == quarantiner.Isolated {
		r.log.WithFields(logrus.Fields{"event": "suspectRuns", "upstream": p.Run.Choice.ID}).
			Info("running a request that may crash its upstream; no other node runs it")
	}
	return p
}

// fallback changes q to the fallback pool and reports whether there is one.
func (r *runner) fallback(q *router.Query) bool {
	p, ok := r.catalog.Fallback(q.Pool)
	if !ok {
		return false
	}
	q.Pool = p.Name
	return true
}

// endRun reports the result of the current run, if any, to the scheduler.
func (r *runner) endRun(res scheduler.Result) {
	if r.run != nil {
		r.f.sched.RecordEnd(*r.run, res)
		r.run = nil
	}
}
