package front

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/router"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
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
	first    *scheduler.Picked // that came with the admission
	began    time.Time         // of the answer to the caller
	lastPart time.Time
	run      *scheduler.Run
	send     dispatcher.Send
	sending  bool // the last routing led to a Send
	text     strings.Builder
	resumes  int
	prefix   string
	buf      []byte
}

func (f *Front) newRunner(w http.ResponseWriter, r *http.Request, j *job) *runner {
	req := dispatcher.Request{
		ID: j.id, Streaming: j.streaming, Repeatable: j.repeatable, Deadline: j.deadline,
		MaxAttempts: maxAttempts, Continuable: j.continues,
	}
	if p := j.resume; p != nil {
		req.From = p.Offset + 1
		req.Resume = dispatcher.ResumePoint{
			Attempt: p.Attempt, Target: dispatcher.Target{Upstream: p.Upstream, Incarnation: p.Incarnation},
		}
		req.Continuable = f.deterministic(j.pool)
	}
	return &runner{
		f: f, ctx: r.Context(), w: w, out: http.NewResponseController(w), job: j, cat: f.config.Current(),
		log:     f.log.WithFields(logrus.Fields{"request": j.id, "workspace": j.workspace.Name, "class": j.class}),
		machine: dispatcher.New(req), rec: f.meter.Recorder(j.workspace.Name, j.class),
	}
}

func (f *Front) deterministic(pool string) bool {
	for _, p := range f.config.Current().Declaration.Pools {
		if p.Name == pool {
			return p.Deterministic
		}
	}
	return false
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
		r.f.sched.Ended(r.first.Run, scheduler.Result{Refused: true})
	}
	if r.admitted {
		r.f.sched.Leave(r.job.pool)
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
	case dispatcher.WaitClaim:
		r.next = func() { r.sleep(a.Pause); r.claim() }
	case dispatcher.Route:
		r.next = func() { r.route(a) }
	case dispatcher.Send:
		r.send, r.sending = a, true
		r.next = r.attempt
	case dispatcher.Cancel:
		r.cancel(a.Attempt)
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

func (r *runner) sleep(d time.Duration) {
	select {
	case <-r.ctx.Done():
	case <-r.f.clk.After(d):
	}
}

func (r *runner) enqueue() {
	j := r.job
	ctx, cancel := context.WithDeadline(r.ctx, j.deadline)
	defer cancel()
	a, err := r.admit(ctx, admitter.Work{
		Ticket: r.f.tickets.Add(1), Workspace: j.workspace.Name, Weight: float64(j.workspace.Weight), Class: j.class,
		Pool: j.pool, Tokens: j.tokens, Deadline: j.deadline,
		Rate: float64(j.workspace.TokensPerSecond), Burst: float64(j.workspace.BurstTokens),
	})
	switch {
	case r.ctx.Err() != nil:
		r.step(dispatcher.CallerGone{})
	case err != nil:
		r.step(dispatcher.Ticked{})
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
func (r *runner) admit(ctx context.Context, w admitter.Work) (scheduler.Admission, error) {
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
			r.step(dispatcher.Poisoned{})
		case p.Wait && r.f.clk.Now().Before(r.job.deadline) && r.ctx.Err() == nil:
			r.sleep(suspectPause)
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
			r.f.hinter.Tell(hinter.Hint{
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
func (r *runner) pick(q router.Query, retry bool) scheduler.Picked {
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
		r.f.sched.Ended(*r.run, res)
		r.run = nil
	}
}

func (r *runner) spec(u string) *upstreamer.Spec {
	j := r.job
	h := make(http.Header, 8)
	h.Set(wire.HeaderAttempt, r.send.Attempt)
	h.Set(wire.HeaderRequest, j.id)
	if j.key != "" {
		h.Set(wire.HeaderIdempotencyKey, j.key)
	}
	if j.model {
		h.Set(wire.HeaderSalt, catalog.Salt(j.workspace.Name))
		h.Set(wire.HeaderPriority, string(j.class))
	}
	s := &upstreamer.Spec{
		Method: j.method, URL: u + j.path, ContentType: j.contentType, Body: j.body, Header: h, ResumeFrom: -1,
		FirstByte: r.patience(r.f.limits.FirstByteSeconds), Between: r.patience(r.f.limits.ChunkSeconds),
		FreshConnection: !j.repeatable,
	}
	if !j.streaming {
		// A whole answer shows no progress, so that only the deadline bounds it.
		s.FirstByte = max(s.FirstByte, j.deadline.Sub(r.f.clk.Now()))
		s.Between = s.FirstByte
	}
	switch r.send.Mode {
	case dispatcher.Resume:
		s.ResumeFrom, s.FreshConnection = r.send.From, true
	case dispatcher.Continue:
		if body, err := sjson.SetBytes(j.body, "continue_text", r.text.String()); err == nil && r.text.Len() > 0 {
			s.Body = body
		}
	}
	return s
}

// patience doubles a time limit with each resumption, so that a slow engine is
// not given up again and again.
func (r *runner) patience(seconds float64) time.Duration {
	return config2x(seconds, min(r.resumes, maxBackoffStep))
}

func (r *runner) attempt() {
	if r.send.Mode == dispatcher.Resume {
		r.resumes++
	}
	u, ok := r.cat.Upstream(r.send.Target.Upstream)
	if !ok {
		r.endRun(scheduler.Result{Refused: true})
		r.step(dispatcher.Refused{Attempt: r.send.Attempt})
		return
	}
	ctx := r.ctx
	if !r.job.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	a, outcome, err := r.f.upstreams.Open(ctx, r.spec(u.URL))
	switch outcome {
	case upstreamer.Opened:
		defer a.Close()
		r.read(a)
	case upstreamer.Refused:
		r.log.WithFields(logrus.Fields{"event": "attemptRefused", "attempt": r.send.Attempt, "upstream": u.Name}).WithError(err).Info("upstream did not run the request")
		r.endRun(scheduler.Result{Refused: true})
		r.refused()
	case upstreamer.Broken:
		r.broken(err, errors.Is(err, upstreamer.ErrSilent))
	}
}

func (r *runner) refused() {
	if r.ctx.Err() != nil && r.job.repeatable {
		r.step(dispatcher.CallerGone{})
		return
	}
	r.step(dispatcher.Refused{Attempt: r.send.Attempt})
}

// broken ends an attempt that may have been run.
func (r *runner) broken(err error, silent bool) {
	if r.ctx.Err() != nil && r.job.repeatable {
		r.endRun(scheduler.Result{Refused: true})
		r.step(dispatcher.CallerGone{})
		return
	}
	health := r.examine(silent)
	r.log.WithFields(logrus.Fields{
		"event": "attemptBroken", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "engine": health,
	}).WithError(err).Warn("attempt ended early")
	if health == crashed && r.run != nil {
		r.reportCrash()
	}
	r.endRun(scheduler.Result{Failed: true})
	r.step(dispatcher.Broken{Attempt: r.send.Attempt, Wrote: true, Crashed: health != healthy})
}

func (r *runner) reportCrash() {
	if reports := r.f.sched.Crashed(*r.run); len(reports) > 0 {
		r.f.members.Tell(context.WithoutCancel(r.ctx), everyone, &peerlink.Message{Suspects: reports})
	}
	r.sleep(suspectPause)
}

// health is what an engine looks like after an attempt broke.
type health string

const (
	healthy health = "healthy"
	// crashed means that its process died: the request may be the cause.
	crashed health = "crashed"
	// unreachable means that its VM or the way to it is lost.
	unreachable health = "unreachable"
)

// examine asks the engine itself whether it is still the one that the attempt
// was sent to. While its incarnation isn't known yet, a broken connection
// counts as a crash, so that the bound on poisoned requests holds.
func (r *runner) examine(silent bool) health {
	u, ok := r.cat.Upstream(r.send.Target.Upstream)
	if !ok || !r.job.model {
		return healthy
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), crashCheck)
	defer cancel()
	l, err := r.f.upstreams.Load(ctx, u.URL)
	known := r.send.Target.Incarnation
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed
	case err != nil:
		return unreachable
	case known == "" && !silent, known != "" && l.Incarnation != known:
		r.f.sched.Reported(u.Name, router.Report{
			Incarnation: l.Incarnation, Occupied: l.Running + l.Waiting, Pending: l.PendingPieces, Leaving: l.Leaving,
		})
		return crashed
	default:
		return healthy
	}
}

func (r *runner) read(a *upstreamer.Attempt) {
	resp := a.Response
	incarnation := resp.Header.Get(wire.HeaderIncarnation)
	r.step(dispatcher.Opened{Attempt: r.send.Attempt, Incarnation: incarnation})
	if r.next != nil || r.machine.Done() {
		r.endRun(scheduler.Result{Failed: true, Incarnation: incarnation})
		return
	}
	if incarnation != "" {
		r.send.Target.Incarnation = incarnation
	}
	r.prefix = r.f.signer.Prefix(r.job.workspace.Name, token.Point{
		Attempt: r.send.Attempt, Upstream: r.send.Target.Upstream, Incarnation: incarnation,
	})
	switch {
	case r.job.streaming && resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), streamType):
		r.readStream(a)
	case r.job.repeatable && resp.StatusCode >= http.StatusInternalServerError:
		r.broken(errors.Errorf("status %d", resp.StatusCode), true)
	default:
		r.readWhole(a)
	}
}

func (r *runner) readWhole(a *upstreamer.Attempt) {
	body, err := io.ReadAll(io.LimitReader(a, r.f.limits.BodyBytes+1))
	if err != nil || int64(len(body)) > r.f.limits.BodyBytes {
		r.broken(errors.Annotate(err, "read the answer"), a.Expired())
		return
	}
	if r.job.model {
		r.recordHits(gjson.GetBytes(body, "usage"))
	}
	r.firstToken()
	r.endRun(scheduler.Result{Incarnation: r.send.Target.Incarnation})
	r.step(dispatcher.Whole{Attempt: r.send.Attempt, Answer: claimer.Answer{
		Status: a.Response.StatusCode, ContentType: a.Response.Header.Get("Content-Type"), Body: body,
	}})
}

// recordHits takes the engine's own count of the prompt tokens it had cached.
func (r *runner) recordHits(usage gjson.Result) {
	cached := usage.Get("prompt_tokens_details.cached_tokens")
	if cached.Exists() && len(r.job.chain) > 0 {
		pieces := int(cached.Int()) * bytesPerToken / r.cat.Hasher.PieceBytes()
		r.rec.HitShare(float64(pieces) / float64(len(r.job.chain)))
	}
}

func (r *runner) readStream(a *upstreamer.Attempt) {
	a.OnWait = r.flush
	last := r.send.From - 1
	var failed error
	for ev, err := range sse.Read(a, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			failed = err
			break
		}
		if ev.Data == "[DONE]" {
			r.step(dispatcher.Ended{Attempt: r.send.Attempt, Total: last + 1})
		} else {
			offset, err := strconv.Atoi(ev.LastEventID)
			if err != nil {
				failed = errors.Annotate(err, "offset of a chunk")
				break
			}
			last = max(last, offset)
			if strings.Contains(ev.Data, `"usage"`) {
				r.recordHits(gjson.Get(ev.Data, "usage"))
			}
			r.step(dispatcher.Chunk{Attempt: r.send.Attempt, Offset: offset, Data: []byte(ev.Data)})
		}
		if r.machine.Done() || r.next != nil {
			r.endRun(scheduler.Result{Failed: !r.machine.Done(), Incarnation: r.send.Target.Incarnation})
			return
		}
	}
	if failed == nil {
		failed = errors.New("the stream ended without its end mark")
	}
	r.flush()
	r.broken(failed, a.Expired())
}

func (r *runner) cancel(attempt string) {
	u, ok := r.cat.Upstream(r.send.Target.Upstream)
	if !ok || !r.job.model {
		return
	}
	if r.send.Mode != 0 && r.next == nil {
		r.log.WithFields(logrus.Fields{"event": "attemptCancelled", "attempt": attempt, "upstream": u.Name}).Debug("attempt given up")
	}
}

func (r *runner) firstToken() {
	now := r.f.clk.Now()
	if r.began.IsZero() {
		r.began = now
		r.rec.FirstToken(now.Sub(r.job.accepted))
		if r.run != nil {
			r.f.sched.Began(*r.run)
			*r.run = r.run.WithBegan()
		}
	} else if r.job.streaming {
		r.rec.BetweenTokens(now.Sub(r.lastPart))
	}
	r.lastPart = now
}

func (r *runner) startStream() {
	h := r.w.Header()
	h.Set("Content-Type", streamType)
	h.Set("Cache-Control", "no-store")
	h.Set(wire.HeaderRequest, r.job.id)
	h.Set(wire.HeaderUpstream, r.send.Target.Upstream)
	r.w.WriteHeader(http.StatusOK)
}

func (r *runner) write(a dispatcher.Write) {
	if r.began.IsZero() {
		r.startStream()
	}
	r.firstToken()
	if r.job.continues {
		r.keepText(a.Data)
	}
	b := append(r.buf, "id: "...)
	b = append(b, r.prefix...)
	b = strconv.AppendInt(b, int64(a.Offset), 10)
	b = append(b, "\ndata: "...)
	b = append(b, a.Data...)
	r.buf = append(b, "\n\n"...)
}

func (r *runner) keepText(data []byte) {
	choice := gjson.GetBytes(data, "choices.0")
	if t := choice.Get("delta.content"); t.Exists() {
		r.text.WriteString(t.String())
		return
	}
	r.text.WriteString(choice.Get("text").String())
}

// flush writes what has gathered to the caller, who must take it in time. It
// runs before each wait for the upstream, so that chunks which arrived
// together leave together.
func (r *runner) flush() {
	if len(r.buf) == 0 {
		return
	}
	_ = r.out.SetWriteDeadline(r.f.clk.Now().Add(config2x(r.f.limits.WriteSeconds, 0)))
	if _, err := r.w.Write(r.buf); err == nil {
		_ = r.out.Flush()
	}
	r.buf = r.buf[:0]
}

func (r *runner) finish() {
	if r.began.IsZero() {
		r.startStream()
	}
	r.buf = append(r.buf, "data: [DONE]\n\n"...)
	_, _ = r.w.Write(r.buf) // the server flushes at the handler's end
	r.log.WithFields(logrus.Fields{
		"event": "requestDone", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "chunks": r.machine.Next(),
		"elapsed": r.f.clk.Now().Sub(r.job.accepted),
	}).Info("stream complete")
}

func (r *runner) answer(a claimer.Answer) {
	h := r.w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(wire.HeaderRequest, r.job.id)
	if r.send.Mode == 0 {
		h.Set("Idempotent-Replayed", "true")
	} else {
		h.Set(wire.HeaderUpstream, r.send.Target.Upstream)
	}
	r.w.WriteHeader(a.Status)
	_, _ = r.w.Write(a.Body)
	r.log.WithFields(logrus.Fields{
		"event": "requestDone", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "status": a.Status,
		"elapsed": r.f.clk.Now().Sub(r.job.accepted),
	}).Info("answered")
}

func (r *runner) fail(k failure.Kind) {
	if k == failure.CallerGone {
		r.log.WithField("event", "callerGone").Info("caller closed its connection")
		return
	}
	msg := failureMessage(k)
	if r.began.IsZero() || !r.job.streaming {
		r.f.refuse(r.w, r.job.id, k, msg)
		return
	}
	r.f.meter.Refused(k)
	r.buf = append(r.buf, "event: error\ndata: "...)
	r.buf = append(r.buf, encodeError(r.job.id, k, msg)...)
	r.buf = append(r.buf, "\n\n"...)
	r.flush()
	r.log.WithFields(logrus.Fields{"event": "streamFailed", "kind": k}).Warn("stream ended with an error event")
}
