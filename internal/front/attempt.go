package front

import (
	"context"
	"encoding/json"
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
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// attemptSpec returns the request to the upstream with base URL u for the
// current attempt.
func (r *runner) attemptSpec(u string) *upstreamer.Spec {
	j := r.job
	h := make(http.Header, 8)
	h.Set(wire.HeaderAttempt, r.send.Attempt)
	h.Set(wire.HeaderRequest, j.id)
	if j.idempotencyKey != "" {
		h.Set(wire.HeaderIdempotencyKey, j.idempotencyKey)
	}
	if j.isCompletion {
		h.Set(wire.HeaderSalt, catalog.Salt(j.workspace.Name))
		h.Set(wire.HeaderPriority, string(j.class))
	}
	s := &upstreamer.Spec{
		Method: j.method, URL: u + j.path, ContentType: j.contentType, Body: j.body, Header: h, ResumeFrom: -1,
		FirstByteTimeout: r.attemptTimeout(r.f.limits.FirstByteSeconds), ChunkTimeout: r.attemptTimeout(r.f.limits.ChunkSeconds),
		NewConnection: !j.repeatable, OnHeader: func(status int, h http.Header) { r.f.pacer.Record(r.send.Target.Upstream, status, h) },
	}
	switch {
	case j.streaming:
	case j.isCompletion || !j.repeatable:
		// A response that is not streamed shows no progress, so only the
		// deadline bounds it. A new connection avoids sending the request on a
		// pooled one that no longer works, which would go unnoticed until then.
		s.FirstByteTimeout = max(s.FirstByteTimeout, j.deadline.Sub(r.f.clk.Now()))
		s.ChunkTimeout, s.NewConnection = s.FirstByteTimeout, true
	case r.attempts > 1:
		s.NewConnection = true // the pooled connection may no longer work
	}
	switch r.send.Mode {
	case dispatcher.Resume:
		s.ResumeFrom, s.NewConnection = r.send.FromOffset, true
	case dispatcher.Continue:
		if body, err := sjson.SetBytes(j.body, "continue_text", r.sentText.String()); err == nil && r.sentText.Len() > 0 {
			s.Body = body
		}
	}
	return s
}

// attemptTimeout doubles a timeout with each attempt, at most
// maxTimeoutDoublings times, so that a slow engine does not time out on every
// attempt.
func (r *runner) attemptTimeout(seconds float64) time.Duration {
	return backoffTimeout(seconds, min(r.attempts-1, maxTimeoutDoublings))
}

// upstreamURL returns the base URL of the upstream of the current attempt. The scheduler may
// have picked one that was declared after the request had arrived. None was picked for a
// stream from another entry node that is resumed.
func (r *runner) upstreamURL() (string, bool) {
	if r.choice.ID == r.send.Target.Upstream {
		return r.choice.URL, true
	}
	u, ok := r.catalog.Upstream(r.send.Target.Upstream)
	return u.URL, ok
}

// runAttempt sends the request to the upstream of the current attempt and
// handles the result.
func (r *runner) runAttempt() {
	r.attempts++
	url, ok := r.upstreamURL()
	if !ok {
		r.endRun(scheduler.Result{Refused: true})
		r.handle(dispatcher.Refused{Attempt: r.send.Attempt})
		return
	}
	if r.run == nil && !r.f.pacer.Allow(r.ctx, r.send.Target.Upstream) { // resumed there without being routed
		r.handle(dispatcher.Refused{Attempt: r.send.Attempt})
		return
	}
	if r.callerGone() { // while the request waited for permission to run
		r.endRun(scheduler.Result{Refused: true})
		r.handleRefusal()
		return
	}
	ctx := r.ctx
	if !r.job.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	a, outcome, err := r.f.upstreams.Open(ctx, r.attemptSpec(url))
	switch outcome {
	case upstreamer.Opened:
		defer a.Close()
		r.readResponse(a)
	case upstreamer.Refused:
		r.log.WithFields(logrus.Fields{"event": "attemptRefused", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream}).WithError(err).Info("upstream did not run the request")
		r.endRun(scheduler.Result{Refused: true})
		r.handleRefusal()
	case upstreamer.Broken:
		r.handleBroken(err, errors.Is(err, upstreamer.ErrSilent))
	}
}

// handleRefusal ends an attempt that the upstream did not run.
func (r *runner) handleRefusal() {
	if r.job.repeatable && r.callerGone() {
		r.handle(dispatcher.CallerGone{})
		return
	}
	r.handle(dispatcher.Refused{Attempt: r.send.Attempt}) // before it is routed again, the caller is checked
}

// handleBroken ends an attempt that may have run and whose response is missing,
// incomplete or a server error.
func (r *runner) handleBroken(err error, silent bool) {
	if r.ctx.Err() != nil && r.job.repeatable {
		r.endRun(scheduler.Result{Refused: true})
		r.handle(dispatcher.CallerGone{})
		return
	}
	health := r.checkEngine(silent)
	r.log.WithFields(logrus.Fields{
		"event": "attemptBroken", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "engine": health,
	}).WithError(err).Warn("attempt ended before its response was complete")
	if health == crashed && r.run != nil {
		r.reportCrash()
	}
	r.endRun(scheduler.Result{Failed: true})
	r.handle(dispatcher.Broken{Attempt: r.send.Attempt, RequestWritten: true, Crashed: health != healthy, Silent: silent})
}

// handleNoMemory ends an attempt for whose response the node has no memory. That says nothing
// about the upstream.
func (r *runner) handleNoMemory(err error) {
	r.log.WithFields(logrus.Fields{
		"event": "attemptBroken", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream,
	}).WithError(err).Warn("attempt ended before its response was complete")
	r.endRun(scheduler.Result{Refused: true})
	r.handle(dispatcher.Broken{Attempt: r.send.Attempt, RequestWritten: true})
}

// reportCrash records that the upstream of the current attempt crashed, and sends
// the fingerprints of the requests in flight there to all members as suspects.
func (r *runner) reportCrash() {
	if reports := r.f.sched.RecordCrash(*r.run); len(reports) > 0 {
		r.log.WithFields(logrus.Fields{
			"event": "crashReported", "upstream": r.send.Target.Upstream, "suspects": len(reports),
		}).Warn("upstream crashed; marked the requests in flight there as suspects")
		r.f.members.SendToSome(context.WithoutCancel(r.ctx), allMembers, &peerlink.Message{Suspects: reports})
	}
	clock.Sleep(r.ctx, r.f.clk, suspectReportDelay)
}

// engineHealth is the state of an engine after an attempt at it broke.
type engineHealth string

const (
	healthy engineHealth = "healthy"
	// crashed means that its process exited; the request may be the cause.
	crashed engineHealth = "crashed"
	// unreachable means that its VM or the network path to it failed.
	unreachable engineHealth = "unreachable"
)

// checkEngine requests the engine's load report to find out whether it is still
// the incarnation that the attempt was sent to. If that incarnation is unknown,
// a broken connection counts as a crash: otherwise a poison request could crash
// more engines than the quarantine allows.
func (r *runner) checkEngine(silent bool) engineHealth {
	url, ok := r.upstreamURL()
	if !ok || !r.job.isCompletion {
		return healthy
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), crashCheckTimeout)
	defer cancel()
	l, err := r.f.upstreams.FetchLoad(ctx, url)
	knownIncarnation := r.send.Target.Incarnation
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed
	case err != nil:
		return unreachable
	case knownIncarnation == "" && !silent, knownIncarnation != "" && l.Incarnation != knownIncarnation:
		r.f.sched.ReceiveLoad(r.send.Target.Upstream, l, time.Time{})
		return crashed
	default:
		return healthy
	}
}

// readResponse passes the response of an attempt on to the dispatcher.
func (r *runner) readResponse(a *upstreamer.Attempt) {
	resp := a.Response
	incarnation := resp.Header.Get(wire.HeaderIncarnation)
	r.handle(dispatcher.Opened{Attempt: r.send.Attempt, Incarnation: incarnation})
	if r.next != nil || r.machine.Done() {
		r.endRun(scheduler.Result{Failed: true, Incarnation: incarnation})
		return
	}
	if incarnation != "" {
		r.send.Target.Incarnation = incarnation
	}
	r.eventIDPrefix = r.f.signer.Prefix(r.job.workspace.Name, token.Position{
		Attempt: r.send.Attempt, Upstream: r.send.Target.Upstream, Incarnation: incarnation,
	})
	switch {
	case r.job.streaming && resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType):
		r.readStream(a)
	case r.job.repeatable && resp.StatusCode >= http.StatusInternalServerError:
		r.handleBroken(errors.Errorf("upstream responded with status %d", resp.StatusCode), true)
	default:
		r.readFullAnswer(a)
	}
}

// readFullAnswer reads a response that is not streamed.
func (r *runner) readFullAnswer(a *upstreamer.Attempt) {
	r.releaseAnswer()
	answer, err := r.f.memory.ReadResponse(r.ctx, memorykeeper.Source{Reader: a, Length: -1, Limit: r.f.limits.BodyBytes})
	switch {
	case errors.Is(err, memorykeeper.ErrFull):
		r.handleNoMemory(err)
		return
	case err != nil:
		r.handleBroken(errors.Annotate(err, "read the response body"), a.TimedOut())
		return
	}
	r.answer = answer
	body := answer.Bytes
	if r.job.isCompletion {
		if a.EndsWithConnection() && a.Response.StatusCode == http.StatusOK && !json.Valid(body) {
			r.handleBroken(errors.New("completion ends early"), false)
			return
		}
		r.recordCacheHits(gjson.GetBytes(body, "usage"))
	}
	r.recordToken()
	r.endRun(scheduler.Result{Incarnation: r.send.Target.Incarnation})
	r.handle(dispatcher.FullAnswer{Attempt: r.send.Attempt, Answer: claimer.Answer{
		Status: a.Response.StatusCode, ContentType: a.Response.Header.Get("Content-Type"), Body: body,
	}})
}

// recordCacheHits records the share of the prompt that the engine had cached,
// from the token count in its response.
func (r *runner) recordCacheHits(usage gjson.Result) {
	cached := usage.Get("prompt_tokens_details.cached_tokens")
	if cached.Exists() && len(r.job.chain) > 0 {
		pieces := int(cached.Int()) * bytesPerToken / r.catalog.Hasher.PieceBytes()
		r.recorder.RecordHitShare(float64(pieces) / float64(len(r.job.chain)))
	}
}

// readStream reads the chunks of an event stream until the request ends or the
// dispatcher starts its next step.
func (r *runner) readStream(a *upstreamer.Attempt) {
	a.BeforeRead, a.IsStream = r.flush, true
	last := r.send.FromOffset - 1
	var failed error
	for ev, err := range sse.Read(a, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			failed = err
			break
		}
		a.Extend()
		if ev.Data == "[DONE]" {
			r.handle(dispatcher.Ended{Attempt: r.send.Attempt, Total: last + 1})
		} else {
			offset, err := strconv.Atoi(ev.LastEventID)
			if err != nil {
				failed = errors.Annotate(err, "parse the event ID of a chunk as its offset")
				break
			}
			last = max(last, offset)
			if strings.Contains(ev.Data, `"usage"`) {
				r.recordCacheHits(gjson.Get(ev.Data, "usage"))
			}
			r.handle(dispatcher.Chunk{Attempt: r.send.Attempt, Offset: offset, Data: []byte(ev.Data)})
			if r.sentText.Len() > maxRequestTokens*bytesPerToken {
				r.log.WithFields(logrus.Fields{"event": "streamTooLong", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream}).
					Warn("ending a stream with more text than a request may have")
				r.endRun(scheduler.Result{Failed: true, Incarnation: r.send.Target.Incarnation})
				r.handle(dispatcher.Abandoned{Attempt: r.send.Attempt})
			}
		}
		if r.machine.Done() || r.next != nil {
			r.endRun(scheduler.Result{Failed: !r.machine.Done(), Incarnation: r.send.Target.Incarnation})
			return
		}
	}
	if failed == nil {
		failed = errors.New("stream ended without [DONE]")
	}
	r.flush()
	r.handleBroken(failed, a.TimedOut())
}
