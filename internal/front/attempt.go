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
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

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
		FirstByteTimeout: r.patience(r.f.limits.FirstByteSeconds), ChunkTimeout: r.patience(r.f.limits.ChunkSeconds),
		FreshConnection: !j.repeatable,
	}
	switch {
	case j.streaming:
	case j.model || !j.repeatable:
		// A whole answer shows no progress, so that only the deadline bounds
		// it; on a new connection at least its start isn't lost.
		s.FirstByteTimeout = max(s.FirstByteTimeout, j.deadline.Sub(r.f.clk.Now()))
		s.ChunkTimeout, s.FreshConnection = s.FirstByteTimeout, true
	case r.sends > 1:
		s.FreshConnection = true // the kept connection may have gone silent
	}
	switch r.send.Mode {
	case dispatcher.Resume:
		s.ResumeFrom, s.FreshConnection = r.send.FromOffset, true
	case dispatcher.Continue:
		if body, err := sjson.SetBytes(j.body, "continue_text", r.text.String()); err == nil && r.text.Len() > 0 {
			s.Body = body
		}
	}
	return s
}

// patience doubles a time limit with each attempt, so that a slow engine is
// not given up again and again.
func (r *runner) patience(seconds float64) time.Duration {
	return doubled(seconds, min(r.sends-1, maxBackoffStep))
}

func (r *runner) attempt() {
	r.sends++
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
	r.step(dispatcher.Broken{Attempt: r.send.Attempt, RequestWritten: true, Crashed: health != healthy, Silent: silent})
}

func (r *runner) reportCrash() {
	if reports := r.f.sched.RecordCrash(*r.run); len(reports) > 0 {
		r.log.WithFields(logrus.Fields{
			"event": "crashReported", "upstream": r.send.Target.Upstream, "suspects": len(reports),
		}).Warn("requests in flight at an upstream that crashed are suspects")
		r.f.members.SendToSome(context.WithoutCancel(r.ctx), everyone, &peerlink.Message{Suspects: reports})
	}
	clock.Sleep(r.ctx, r.f.clk, suspectPause)
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
	l, err := r.f.upstreams.FetchLoad(ctx, u.URL)
	known := r.send.Target.Incarnation
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed
	case err != nil:
		return unreachable
	case known == "" && !silent, known != "" && l.Incarnation != known:
		r.f.sched.RecordLoad(u.Name, l, time.Time{})
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
		r.broken(errors.Annotate(err, "read the answer"), a.TimedOut())
		return
	}
	if r.job.model {
		r.recordHits(gjson.GetBytes(body, "usage"))
	}
	r.firstToken()
	r.endRun(scheduler.Result{Incarnation: r.send.Target.Incarnation})
	r.step(dispatcher.FullAnswer{Attempt: r.send.Attempt, Answer: claimer.Answer{
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
	a.BeforeRead = r.flush
	last := r.send.FromOffset - 1
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
	r.broken(failed, a.TimedOut())
}
