package front

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/dispatcher"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// writeBytes is the size of the parts in which a response is written. Each part has the write
// timeout, so that a slow caller still gets a large answer or event.
const writeBytes = 64 << 10

// recordToken records the time to the first token, or the time between tokens for
// later chunks of a stream.
func (r *runner) recordToken() {
	now := r.f.clk.Now()
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
		r.recorder.RecordFirstToken(now.Sub(r.job.acceptedAt))
		if r.run != nil {
			r.f.sched.RecordFirstToken(*r.run)
			*r.run = r.run.WithFirstToken()
		}
	} else if r.job.streaming {
		r.recorder.RecordTimeBetweenTokens(now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
}

// startStream writes the response header of a stream.
func (r *runner) startStream() {
	h := r.w.Header()
	h.Set("Content-Type", eventStreamType)
	h.Set("Cache-Control", "no-store")
	h.Set(wire.HeaderRequest, r.job.id)
	h.Set(wire.HeaderUpstream, r.send.Target.Upstream)
	r.w.WriteHeader(http.StatusOK)
}

// writeChunk appends a chunk to the buffer as a server-sent event.
func (r *runner) writeChunk(a dispatcher.Write) {
	if r.firstTokenAt.IsZero() {
		r.startStream()
	}
	r.recordToken()
	if r.job.continuable {
		r.appendSentText(a.Data)
	}
	b := append(r.buf, "id: "...)
	b = append(b, r.eventIDPrefix...)
	b = strconv.AppendInt(b, int64(a.Offset), 10)
	b = append(b, "\ndata: "...)
	b = append(b, a.Data...)
	r.buf = append(b, "\n\n"...)
}

// appendSentText keeps the text of a chunk, so that another engine can continue
// from it.
func (r *runner) appendSentText(data []byte) {
	choice := gjson.GetBytes(data, "choices.0")
	if t := choice.Get("delta.content"); t.Exists() {
		r.sentText.WriteString(t.String())
		return
	}
	r.sentText.WriteString(choice.Get("text").String())
}

// flush writes the buffered chunks to the caller, within the write timeout. It
// runs before each read from the upstream, so that chunks that arrived together
// are sent together.
func (r *runner) flush() {
	if len(r.buf) == 0 {
		return
	}
	if r.write(r.buf) == nil {
		_ = r.controller.Flush()
	}
	r.buf = r.buf[:0]
}

// write writes p to the caller, each part within the write timeout.
func (r *runner) write(p []byte) error {
	for part := range slices.Chunk(p, writeBytes) {
		r.extendWriteDeadline()
		if _, err := r.w.Write(part); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// extendWriteDeadline starts the time limit for writes to the caller anew.
func (r *runner) extendWriteDeadline() {
	_ = r.controller.SetWriteDeadline(r.f.clk.Now().Add(config.Seconds(r.f.limits.WriteSeconds)))
}

// finishStream writes the end mark of a stream.
func (r *runner) finishStream() {
	if r.firstTokenAt.IsZero() {
		r.startStream()
	}
	r.buf = append(r.buf, "data: [DONE]\n\n"...)
	_ = r.write(r.buf) // net/http flushes when the handler returns
	r.log.WithFields(logrus.Fields{
		"event": "requestDone", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "chunks": r.machine.NextOffset(),
		"elapsed": r.f.clk.Now().Sub(r.job.acceptedAt),
	}).Info("stream completed")
}

// writeAnswer writes a complete response: that of the upstream, or the stored
// response of an earlier request with the same idempotency key.
func (r *runner) writeAnswer(a claimer.Answer) {
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
	if len(a.Body) > 0 { // without a length or chunks, a cut answer would look complete
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	r.w.WriteHeader(a.Status)
	_ = r.write(a.Body)
	r.log.WithFields(logrus.Fields{
		"event": "requestDone", "attempt": r.send.Attempt, "upstream": r.send.Target.Upstream, "status": a.Status,
		"elapsed": r.f.clk.Now().Sub(r.job.acceptedAt),
	}).Info("answered")
}

// fail reports k to the caller, as an error event if the stream has begun and as
// an error response otherwise.
func (r *runner) fail(k failure.Kind) {
	begun := !r.firstTokenAt.IsZero() && r.job.streaming
	if k == failure.CallerGone {
		r.log.WithField("event", "callerGone").Info("caller closed its connection")
		r.cut = begun
		if begun {
			return
		}
		r.w.Header().Set("Connection", "close") // a caller that has only closed its sending side still reads
	}
	msg := failureMessage(k)
	if !begun {
		r.f.refuse(r.w, r.job.id, k, msg)
		return
	}
	r.f.meter.RecordRefusal(k)
	r.buf = append(r.buf, "event: error\ndata: "...)
	r.buf = append(r.buf, encodeError(r.job.id, k, msg)...)
	r.buf = append(r.buf, "\n\n"...)
	r.flush()
	r.log.WithFields(logrus.Fields{"event": "streamFailed", "kind": k}).Warn("stream ended with an error event")
}
