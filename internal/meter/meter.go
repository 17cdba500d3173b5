// Package meter keeps the metrics of a node: histograms for each workspace and
// class, with the number of label values bounded.
package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// maxWorkspaces bounds the workspaces with histograms of their own; those
// beyond it share the label "other".
const maxWorkspaces = 64

const reportInterval = time.Second

type series struct{ firstToken, betweenTokens, queueing, hitShare tally.Histogram }

type seriesKey struct {
	workspace string
	class     config.Class
}

// Meter holds the metrics. It is safe for concurrent use.
type Meter struct {
	scope      tally.Scope
	closer     io.Closer
	handler    http.Handler
	mu         sync.RWMutex
	series     map[seriesKey]*series
	workspaces map[string]bool
	dropped    tally.Counter
	retries    tally.Counter
}

// New returns an empty Meter.
func New() *Meter {
	registry := prometheus.NewRegistry()
	r := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnnotch", CachedReporter: r, Separator: promreporter.DefaultSeparator,
	}, reportInterval)
	return &Meter{
		scope: scope, closer: closer, handler: r.HTTPHandler(),
		series: map[seriesKey]*series{}, workspaces: map[string]bool{},
		dropped: scope.Counter("stale_chunks"), retries: scope.Counter("retries"),
	}
}

// Close ends the reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Scope returns the root scope, for services with metrics of their own.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the Prometheus form.
func (m *Meter) Handler() http.Handler { return m.handler }

func (m *Meter) find(workspace string, class config.Class) *series {
	key := seriesKey{workspace: workspace, class: class}
	m.mu.RLock()
	s, ok := m.series[key]
	m.mu.RUnlock()
	if ok {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.workspaces[workspace] && len(m.workspaces) >= maxWorkspaces {
		key.workspace = "other"
	}
	m.workspaces[key.workspace] = true
	if s, ok = m.series[key]; ok {
		return s
	}
	s = newSeries(m.scope.Tagged(map[string]string{"workspace": key.workspace, "class": string(class)}))
	m.series[key] = s
	return s
}

func newSeries(scope tally.Scope) *series {
	const (
		buckets = 18
		double  = 2
	)
	times := tally.MustMakeExponentialDurationBuckets(time.Millisecond, double, buckets)
	shares := tally.MustMakeLinearValueBuckets(0, 0.1, 11)
	return &series{
		firstToken: scope.Histogram("time_to_first_token", times), betweenTokens: scope.Histogram("time_between_tokens", times),
		queueing: scope.Histogram("queueing", times), hitShare: scope.Histogram("hit_share", shares),
	}
}

// Recorder records the metrics of one request.
type Recorder struct{ s *series }

// Recorder returns the Recorder of a workspace and class.
func (m *Meter) Recorder(workspace string, class config.Class) Recorder {
	return Recorder{s: m.find(workspace, class)}
}

// RecordFirstToken records the time from acceptance to the first token.
func (r Recorder) RecordFirstToken(d time.Duration) { r.s.firstToken.RecordDuration(d) }

// RecordTimeBetweenTokens records the time between two tokens.
func (r Recorder) RecordTimeBetweenTokens(d time.Duration) { r.s.betweenTokens.RecordDuration(d) }

// RecordQueueing records the time in the queue.
func (r Recorder) RecordQueueing(d time.Duration) { r.s.queueing.RecordDuration(d) }

// RecordHitShare records the share of the prompt's pieces that were cached.
func (r Recorder) RecordHitShare(share float64) { r.s.hitShare.RecordValue(share) }

// RecordRefusal counts a refusal by its kind.
func (m *Meter) RecordRefusal(k failure.Kind) {
	m.scope.Tagged(map[string]string{"kind": k.String()}).Counter("refusals").Inc(1)
}

// RecordStaleChunk counts a chunk that was late, crossed or doubled.
func (m *Meter) RecordStaleChunk() { m.dropped.Inc(1) }

// RecordRetry counts an attempt after the first.
func (m *Meter) RecordRetry() { m.retries.Inc(1) }
