package meter

import "github.com/uber-go/tally/v4"

// limitSeries holds the metrics of one workspace's rate limit.
type limitSeries struct {
	admitted, refused, refunded tally.Counter
	fraction                    tally.Gauge
}

// limitsFor returns the metrics of a workspace's rate limit, and creates them if needed.
func (m *Meter) limitsFor(workspace string) *limitSeries {
	m.mu.RLock()
	s, ok := m.limits[workspace]
	m.mu.RUnlock()
	if ok {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.limits) >= maxWorkspaces {
		workspace = "other"
	}
	if s, ok = m.limits[workspace]; ok {
		return s
	}
	scope := m.scope.Tagged(map[string]string{"workspace": workspace})
	s = &limitSeries{
		admitted: scope.Counter("limit_admitted"), refused: scope.Counter("limit_refused"), refunded: scope.Counter("limit_refunded"),
		fraction: scope.Gauge("limit_fraction"),
	}
	m.limits[workspace] = s
	return s
}

// RecordLimit records the decision about a request of a workspace with a limit: its cost, whether
// it was admitted, and the fraction of requests that is.
func (m *Meter) RecordLimit(workspace string, cost float64, admitted bool, fraction float64) {
	s := m.limitsFor(workspace)
	s.fraction.Update(fraction)
	if admitted {
		s.admitted.Inc(int64(cost))
	} else {
		s.refused.Inc(int64(cost))
	}
}

// RecordRefund records that the charge of a request that didn't run was returned.
func (m *Meter) RecordRefund(workspace string, cost float64) {
	m.limitsFor(workspace).refunded.Inc(int64(cost))
}
