package relayer

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/connector"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// crashSuspicionTime is how long after its first event a run may still crash its engine.
const crashSuspicionTime = time.Second

// maxLoadAge is the age up to which a peer's load report shows that an upstream is alive. A
// report may be lost.
const maxLoadAge = 300 * time.Millisecond

// requestFeatures returns what a request may have in common with others that crash
// upstreams: the parts of its prompt but the last, which belongs to it alone, and what its
// upstream receives, with and without the query and the workspace. The key isn't among it:
// a workspace may have several, and upstreams don't see them.
func requestFeatures(req *Request, workspace string) []detector.Feature {
	var out []detector.Feature
	if p := req.Prompt; p != nil {
		for i := 0; i+1 < len(p.Parts); i++ {
			out = append(out, detector.Feature(xxhash.Sum64String(p.Parts[i].ID)))
		}
	}
	path, query, _ := strings.Cut(req.Target, "?")
	h := xxhash.New()
	writeStrings(h, req.Method, req.Host, path)
	_, _ = h.Write(req.Body) // never fails
	content := h.Sum64()
	with := func(parts ...string) detector.Feature {
		h.Reset()
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, content))
		writeStrings(h, parts...)
		return detector.Feature(h.Sum64())
	}
	if query != "" && workspace != "" {
		out = append(out, with("both", query, workspace))
	}
	if workspace != "" {
		out = append(out, with("workspace", workspace))
	}
	if query != "" {
		out = append(out, with("query", query))
	}
	return append(out, detector.Feature(content))
}

func writeStrings(h *xxhash.Digest, parts ...string) {
	for _, s := range parts {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
}

// isPoison reports whether the request would crash the upstream that runs it.
func (u *relay) isPoison() bool {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	return u.r.detector.Rejects(u.r.Clock.Now(), u.features)
}

// mayAwaitTrial reports whether the request may be the one that runs first after a rejection, if it
// waits: the node has claimed that, and the others have yet to hear of it.
func (u *relay) mayAwaitTrial() bool {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	now := u.r.Clock.Now()
	wait, pending := u.r.detector.UntilTrial(now, u.features)
	return pending && u.deadline.Sub(now) > wait+minRemaining
}

// recordLoss records an attempt that its upstream has ended: a crash may be the reason.
// The relayer's lock must be held.
func (u *relay) recordLoss(err error) {
	now := u.r.Clock.Now()
	if !connector.ClosedByUpstream(err) || u.firstEventSeen && now.Sub(u.sentAt)-u.timeToFirstEvent > crashSuspicionTime {
		return
	}
	u.r.detector.RecordLoss(now, detectorService(u.service), placer.Key(u.choice.Incarnation()), u.sentAt, u.features)
}

// recordSuccess records a complete run. The relayer's lock must be held.
func (u *relay) recordSuccess() {
	u.r.detector.RecordSuccess(u.r.Clock.Now(), detectorService(u.service), u.features)
}

func detectorService(name string) detector.Service {
	return detector.Service(xxhash.Sum64String(name))
}

// evidence returns what this node tells its peers about requests that crash upstreams.
// The relayer's lock must be held.
func (r *Relayer) evidence(now time.Time) detector.Evidence {
	runs := func(upstream uint32) bool { return r.placer.RunsRequests(now, upstream, maxLoadAge) }
	r.logFindings(r.detector.Judge(now, runs))
	for _, d := range r.detector.Doubts(now) {
		r.Log.WithFields(logrus.Fields{
			"event": "poisonDoubted", "feature": hexFeatures([]detector.Feature{d.Feature}), "crashes": d.Crashes, "reason": string(d.Reason),
		}).Info("not rejecting a suspect that was lost at several crashes")
	}
	return r.detector.Evidence(now)
}

// MergeEvidence merges what a peer knows of requests that crash upstreams. Without any, it tells
// that the node hears others.
func (r *Relayer) MergeEvidence(e detector.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.Merge(r.Clock.Now(), e)
}

// Rejections returns what this node rejects since it crashes upstreams.
func (r *Relayer) Rejections() []traffic.Rejection {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var out []traffic.Rejection
	for _, p := range r.detector.Rejections(now) {
		features := make([]uint64, len(p.Features))
		for i, f := range p.Features {
			features[i] = uint64(f)
		}
		out = append(out, traffic.Rejection{Features: features, Until: now.Add(time.Duration(p.RemainingMS) * time.Millisecond)})
	}
	return out
}

// RestoreRejections rejects what the fleet rejected before this node started.
func (r *Relayer) RestoreRejections(rejections []traffic.Rejection) {
	if len(rejections) == 0 {
		return
	}
	now := r.Clock.Now()
	var e detector.Evidence
	for _, p := range rejections {
		features := make([]detector.Feature, len(p.Features))
		for i, f := range p.Features {
			features[i] = detector.Feature(f)
		}
		e.Poisons = append(e.Poisons, detector.Poison{Features: features, RemainingMS: p.Until.Sub(now).Milliseconds()})
	}
	r.MergeEvidence(e)
	r.Log.WithFields(logrus.Fields{"event": "rejectionsRestored", "rejections": len(rejections)}).Info("rejecting what the fleet rejected before this node started")
}

// SetJudge sets whether the evidence of all nodes reaches this node.
func (r *Relayer) SetJudge(judges bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.SetJudge(judges)
}

func (r *Relayer) logFindings(found []detector.Finding) {
	for _, f := range found {
		r.Log.WithFields(logrus.Fields{
			"event": "poisonFound", "features": hexFeatures(f.Features), "crashes": f.Crashes, "byPeer": f.Crashes == 0, "provisional": f.Provisional,
		}).Warn("rejecting requests that crash upstreams")
	}
}

// hexFeatures returns the features for a log line, separated by commas.
func hexFeatures(features []detector.Feature) string {
	hashes := make([]string, len(features))
	for i, f := range features {
		hashes[i] = fmt.Sprintf("%x", uint64(f))
	}
	return strings.Join(hashes, ",")
}

// maxLoggedFeatures bounds the features in a log line.
const maxLoggedFeatures = 4

// lastFeatures returns the features of the whole request, and of the last parts of its prompt
// if these are fewer, for the log.
func lastFeatures(features []detector.Feature) []detector.Feature {
	return features[max(0, len(features)-maxLoggedFeatures):]
}
