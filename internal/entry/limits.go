package entry

import (
	"slices"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// limitFleet returns what the limits of workspaces need to know of the fleet.
func (s *localState) limitFleet() limiter.Fleet {
	fleet := s.roster()
	return limiter.Fleet{
		Nodes: len(fleet.Nodes()), ReceivesAll: s.receivesAll(),
		Summarized: slices.ContainsFunc(fleet.Aggregators(), func(n traffic.Node) bool { return n.Protocol >= traffic.ProtocolUsage }),
	}
}

// fillLimits sets the usage of limits, which all nodes report, and on the aggregators of a large
// fleet the workspaces in shortage. Both aggregators send them, so that the loss of one goes
// unnoticed. In a small fleet only nodes that have just started need them.
func (s *localState) fillLimits(m *broadcaster.Message, t *relayer.TrafficReport) {
	m.Usage, m.UpstreamUsage, m.UpstreamRates = t.Usage, t.UpstreamUsage, t.UpstreamRates
	fullMesh := s.roster().FullMesh()
	if !t.Summarized || fullMesh && !t.Summary.NewPeer {
		return
	}
	m.Summarized, m.Shortages = true, t.Summary.Shortages
	if t.Summary.Urgent && !fullMesh {
		s.broadcaster.FlushEvents()
	}
}

// mergeLimits merges the usage of each peer in a small fleet and on aggregators, and the summaries
// of aggregators. A node that has just started follows them until it knows the levels itself.
func (s *localState) mergeLimits(m *broadcaster.Message) {
	if s.receivesAll() && !m.Aggregated {
		s.relay.MergeUsage(m.From, m.BootID, m.Usage)
		s.relay.MergeUpstreamUsage(m.From, m.BootID, m.UpstreamUsage)
	}
	s.relay.MergeUpstreamRates(m.UpstreamRates)
	if m.Summarized {
		s.relay.FollowLimits(m.Shortages)
	}
}
