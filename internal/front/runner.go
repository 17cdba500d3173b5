package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

const (
	maxAttempts    = 8
	maxEventBytes  = 1 << 20
	suspectPause   = 250 * time.Millisecond // lets the reports of peers arrive
	crashCheck     = 300 * time.Millisecond
	everyone       = 1 << 16
	streamType     = "text/event-stream"
	maxBackoffStep = 3
)

// runner carries out the actions of one request's dispatcher.
type runner struct {
	f       *Front
	ctx     context.Context
	w       http.ResponseWriter
	out     *http.ResponseController
	log     logrus.FieldLogger
	job     *job
	cat     *catalog.Catalog
	machine *dispatcher.Dispatcher
	rec     meter.Recorder

	next     func()
	admitted bool
	first    *scheduler.PickResult // that came with the admission
	began    time.Time             // of the answer to the caller
	lastPart time.Time
	run      *scheduler.Run
	send     dispatcher.Send
	sending  bool // the last routing led to a Send
	text     strings.Builder
	sends    int // attempts so far
	prefix   string
	buf      []byte
}

func (f *Front) newRunner(w http.ResponseWriter, r *http.Request, j *job) *runner {
	req := dispatcher.Request{
		ID: j.id, Streaming: j.streaming, Repeatable: j.repeatable, Deadline: j.deadline,
		MaxAttempts: maxAttempts, Continuable: j.continues,
	}
	if p := j.resume; p != nil {
		req.FromOffset = p.Offset + 1
		req.Resume = dispatcher.ResumePoint{
			Attempt: p.Attempt, Target: dispatcher.Target{Upstream: p.Upstream, Incarnation: p.Incarnation},
		}
		pool, _ := f.config.Current().PoolNamed(j.pool)
		req.Continuable = pool.Deterministic
	}
	return &runner{
		f: f, ctx: r.Context(), w: w, out: http.NewResponseController(w), job: j, cat: f.config.Current(),
		log:     f.log.WithFields(logrus.Fields{"request": j.id, "workspace": j.workspace.Name, "class": j.class}),
		machine: dispatcher.New(req), rec: f.meter.Recorder(j.workspace.Name, j.class),
	}
}

// serve runs the request to its end.
func (r *runner) serve() {
	defer r.leave()
	r.step(dispatcher.Accepted{})
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

func (r *runner) leave() {
	if r.first != nil && r.first.Found() {
		r.f.sched.RecordEnd(r.first.Run, scheduler.Result{Refused: true})
	}
	if r.admitted {
		r.f.sched.ReleaseSlot(r.job.pool)
	}
}

func (r *runner) step(e dispatcher.Event) {
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
		r.send, r.sending = a, true
		r.next = r.attempt
	case dispatcher.Cancel:
		// Closing its connection tells the engine, which keeps the attempt for a
		// while in case that it is resumed.
		r.log.WithFields(logrus.Fields{"event": "attemptCancelled", "attempt": a.Attempt}).Debug("attempt given up")
	case dispatcher.Write:
		r.write(a)
	case dispatcher.Answer:
		r.answer(a.Answer)
	case dispatcher.Finish:
		r.finish()
	case dispatcher.Fail:
		r.fail(a.Kind)
	case dispatcher.Record:
		r.f.ledger.Finish(context.WithoutCancel(r.ctx), claimer.Finished{Key: r.job.claim.Key, Nonce: r.job.claim.Nonce, Answer: a.Answer})
	case dispatcher.Release:
		r.f.ledger.Release(context.WithoutCancel(r.ctx), claimer.Released{Key: r.job.claim.Key, Nonce: r.job.claim.Nonce})
	case dispatcher.CountDrop:
		r.f.meter.StaleChunk()
	}
}

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
	case r.ctx.Err() != nil:
		r.step(dispatcher.CallerGone{})
	case err != nil:
		r.step(dispatcher.Tick{})
	case a.Kind != failure.None:
		r.step(dispatcher.Rejected{Kind: a.Kind})
	default:
		r.admitted, r.first = true, a.First
		r.rec.Queueing(r.f.clk.Now().Sub(j.accepted))
		r.step(dispatcher.Admitted{})
	}
}

// admit asks for the first upstream together with the admission, unless a
// claim comes first or the stream goes on where it was.
func (r *runner) admit(ctx context.Context, w admitter.Request) (scheduler.Admission, error) {
	if !r.job.repeatable || r.job.resume != nil {
		return r.f.sched.Admit(ctx, w)
	}
	return r.f.sched.AdmitAndPick(ctx, w, r.query(nil), r.job.chain, r.job.fingerprint)
}

func (r *runner) query(exclude []string) router.Query {
	return router.Query{
		Pool: r.job.pool, RecomputeWeight: r.job.workspace.RecomputeWeight, Rank: admitter.Rank(r.job.class), Exclude: exclude,
	}
}

func (r *runner) claim() {
	if r.ctx.Err() != nil {
		r.step(dispatcher.CallerGone{})
		return
	}
	reply := r.f.ledger.Claim(context.WithoutCancel(r.ctx), r.job.claim)
	r.step(dispatcher.Claimed{
		Outcome: reply.Outcome, Answer: reply.Answer, HolderAlive: r.f.ledger.HolderAlive(reply.Holder),
	})
}

func (r *runner) route(a dispatcher.Route) {
	if r.ctx.Err() != nil && r.job.repeatable {
		r.step(dispatcher.CallerGone{})
		return
	}
	if a.Retry {
		r.f.meter.Retry()
	}
	q := r.query(a.Exclude)
	for {
		p := r.pick(q, a.Retry)
		switch {
		case p.Quarantine:
			r.log.WithField("event", "requestQuarantined").Warn("request crashed too many upstreams")
			r.step(dispatcher.Quarantined{})
		case p.Wait && r.f.clk.Now().Before(r.job.deadline) && r.ctx.Err() == nil:
			clock.Sleep(r.ctx, r.f.clk, suspectPause)
			continue
		case p.Kind == failure.NoUpstream && r.fallback(&q):
			continue
		case p.Wait:
			r.step(dispatcher.Routed{Kind: failure.NoUpstream})
		case p.Kind != failure.None:
			r.step(dispatcher.Routed{Kind: p.Kind})
		default:
			run := p.Run
			r.run, r.sending = &run, false
			r.step(dispatcher.Routed{Target: dispatcher.Target{
				Upstream: run.Choice.ID, Incarnation: run.Choice.Incarnation, LeavesAt: run.Choice.LeavesAt,
			}})
			r.f.hinter.Add(hinter.Hint{
				Workspace: r.job.workspace.Name, Weight: r.job.workspace.Weight, Upstream: run.Choice.ID, Chain: r.job.chain,
			})
			if !r.sending {
				r.endRun(scheduler.Result{Refused: true})
			}
		}
		return
	}
}

// pick returns the upstream that came with the admission, or asks for one.
func (r *runner) pick(q router.Query, retry bool) scheduler.PickResult {
	if first := r.first; first != nil {
		r.first = nil
		return *first
	}
	return r.f.sched.Pick(q, r.job.chain, r.job.fingerprint, retry)
}

func (r *runner) fallback(q *router.Query) bool {
	p, ok := r.cat.Fallback(q.Pool)
	if !ok {
		return false
	}
	q.Pool = p.Name
	return true
}

func (r *runner) endRun(res scheduler.Result) {
	if r.run != nil {
		r.f.sched.RecordEnd(*r.run, res)
		r.run = nil
	}
}
