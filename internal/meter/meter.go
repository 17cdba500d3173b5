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

// maxWorkspaces bounds the number of workspaces with histograms of their own. All
// further workspaces share the label "other".
const maxWorkspaces = 64

const reportInterval = time.Second

// series holds the histograms of one workspace and class.
type series struct{ timeToFirstToken, timeBetweenTokens, queueing, hitShare tally.Histogram }

type seriesKey struct {
	workspace string
	class     config.Class
}

// Meter holds the metrics of a node. It is safe for concurrent use.
type Meter struct {
	scope       tally.Scope
	closer      io.Closer
	handler     http.Handler
	mu          sync.RWMutex
	series      map[seriesKey]*series
	workspaces  map[string]bool
	limits      map[string]*limitSeries // by workspace
	staleChunks tally.Counter
	retries     tally.Counter
}

// New returns a Meter without values. Close must be called to release it.
func New() *Meter {
	registry := prometheus.NewRegistry()
	r := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnnotch", CachedReporter: r, Separator: promreporter.DefaultSeparator,
	}, reportInterval)
	return &Meter{
		scope: scope, closer: closer, handler: r.HTTPHandler(),
		series: map[seriesKey]*series{}, workspaces: map[string]bool{}, limits: map[string]*limitSeries{},
		staleChunks: scope.Counter("stale_chunks"), retries: scope.Counter("retries"),
	}
}

// Close stops the reporting of metrics.
func (m *Meter) Close() error { return m.closer.Close() }

// Scope returns the root scope for services that define their own metrics.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler returns a handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler { return m.handler }

// seriesFor returns the histograms of a workspace and class, and creates them if
// needed.
func (m *Meter) seriesFor(workspace string, class config.Class) *series {
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
		bucketCount  = 18
		bucketFactor = 2
	)
	times := tally.MustMakeExponentialDurationBuckets(time.Millisecond, bucketFactor, bucketCount)
	shares := tally.MustMakeLinearValueBuckets(0, 0.1, 11)
	return &series{
		timeToFirstToken: scope.Histogram("time_to_first_token", times), timeBetweenTokens: scope.Histogram("time_between_tokens", times),
		queueing: scope.Histogram("queueing", times), hitShare: scope.Histogram("hit_share", shares),
	}
}

// Recorder records the metrics of one request.
type Recorder struct{ s *series }

// Recorder returns a Recorder for requests of a workspace and class.
func (m *Meter) Recorder(workspace string, class config.Class) Recorder {
	return Recorder{s: m.seriesFor(workspace, class)}
}

// RecordFirstToken records the time from acceptance to the first token.
func (r Recorder) RecordFirstToken(d time.Duration) { r.s.timeToFirstToken.RecordDuration(d) }

// RecordTimeBetweenTokens records the time between two tokens.
func (r Recorder) RecordTimeBetweenTokens(d time.Duration) { r.s.timeBetweenTokens.RecordDuration(d) }

// RecordQueueing records the time that a request spent in the queue.
func (r Recorder) RecordQueueing(d time.Duration) { r.s.queueing.RecordDuration(d) }

// RecordHitShare records the share of the prompt's pieces that were cached.
func (r Recorder) RecordHitShare(share float64) { r.s.hitShare.RecordValue(share) }

// RecordRefusal counts a request for which the caller received an error, by the
// kind of the failure.
func (m *Meter) RecordRefusal(k failure.Kind) {
	m.scope.Tagged(map[string]string{"kind": k.String()}).Counter("refusals").Inc(1)
}

// RecordStaleChunk counts a dropped chunk: it was late, a duplicate, out of order or
// of another attempt.
func (m *Meter) RecordStaleChunk() { m.staleChunks.Inc(1) }

// RecordRetry counts an attempt after the first one of a request.
func (m *Meter) RecordRetry() { m.retries.Inc(1) }

// RecordHedge counts a hedged attempt that has started, won or lost, or that was withheld
// for the given reason. The other results have no reason.
func (m *Meter) RecordHedge(result, reason string) {
	m.scope.Tagged(map[string]string{"result": result, "reason": reason}).Counter("hedges").Inc(1)
}
