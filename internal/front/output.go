package front

import (
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

func (r *runner) firstToken() {
	now := r.f.clk.Now()
	if r.began.IsZero() {
		r.began = now
		r.rec.FirstToken(now.Sub(r.job.accepted))
		if r.run != nil {
			r.f.sched.RecordFirstToken(*r.run)
			*r.run = r.run.WithFirstToken()
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
	_ = r.out.SetWriteDeadline(r.f.clk.Now().Add(doubled(r.f.limits.WriteSeconds, 0)))
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
		"event": "requestDone", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "chunks": r.machine.NextOffset(),
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
