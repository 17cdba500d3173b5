package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// usageTTL is how long after its last request a workspace's counters end, in seconds.
	usageTTL = 2.0
	// maxUsages bounds the workspaces in a report. A node of 340 has 43 requests in 2 s.
	maxUsages = 512
	// unlistedMessages is the number of messages without a workspace after which its
	// counters have ended at the sender.
	unlistedMessages = 50
)

// usageRepeats are the reports after a change that list a workspace again, in case that earlier
// ones were lost. Listing it in all reports of the 2 s would take most of a node's 10 KB/s.
var usageRepeats = [...]int{0, 1, 3, 8}

// Usage is what a node has used of a limit. Cumulative values make up for lost reports.
type Usage struct {
	Workspace uint32
	// Period numbers the time since which the other fields are counted. They begin anew
	// after 2 s without a request.
	Period uint32
	// Admitted may fall when a charge is returned.
	Admitted int64
	// Asked is the cost of the requests that were made, of which there were Requests.
	Asked, Requests uint64
}

// Report is what a node reports of its use of limits.
type Report struct {
	// Periods is the number of the latest period at the node.
	Periods uint32
	// Usage lists workspaces that have changed lately, not all.
	Usage []Usage
}

// ownUsage has the counters of this node.
type ownUsage struct {
	period          uint32
	admitted, asked float64
	requests        uint64
	changedAt       float64
	// reports is the number of reports since the last change.
	reports int
	counted bool // in Limiter.used
}

// use returns the counters of a workspace, which are about to change.
func (l *Limiter) use(b *bucket, t float64) *ownUsage {
	u := &b.usage
	if !u.counted {
		l.periods++
		*u = ownUsage{period: l.periods, counted: true}
		l.used = append(l.used, b)
	}
	u.changedAt, u.reports = t, 0
	return u
}

func (l *Limiter) recordUse(b *bucket, t, cost float64, admitted bool) {
	u := l.use(b, t)
	u.asked += cost
	u.requests++
	if admitted {
		u.admitted += cost
	}
}

// TakeUsage returns the next report.
func (l *Limiter) TakeUsage(now time.Time) Report {
	t := l.seconds(now)
	var out []Usage
	l.used = slices.DeleteFunc(l.used, func(b *bucket) bool {
		u := &b.usage
		if len(out) == maxUsages {
			return false // in a later report
		}
		if slices.Contains(usageRepeats[:], u.reports) {
			out = append(out, Usage{Workspace: b.id, Period: u.period, Admitted: int64(math.Round(u.admitted)), Asked: uint64(math.Round(u.asked)), Requests: u.requests})
		}
		u.reports++
		u.counted = t-u.changedAt < usageTTL
		return !u.counted
	})
	return Report{Periods: l.periods, Usage: out}
}

// peer has the counters of another node.
type peer struct {
	// unknown is the latest period that had begun before this node heard the peer. How much of
	// such a period was counted before isn't known.
	unknown  uint32
	bootID   uint64
	heardAt  float64
	messages uint64
	counters map[uint32]peerUsage
}

type peerUsage struct {
	Usage
	message uint64 // in which it was last listed
}

// MergeUsage counts what a peer's report says that it has used. It must be called for reports
// without usage, too: they tell that the peer is heard.
func (l *Limiter) MergeUsage(now time.Time, node string, bootID uint64, r Report) {
	t := l.seconds(now)
	p := l.peers[node]
	if heard := p != nil; !heard || p.bootID != bootID {
		l.newPeerAt = t
		p = &peer{bootID: bootID, counters: map[uint32]peerUsage{}}
		if !heard {
			p.unknown = r.Periods
		}
		l.peers[node] = p
	}
	p.heardAt = t
	p.messages++
	for _, u := range r.Usage[:min(len(r.Usage), maxUsages)] {
		last := p.counters[u.Workspace]
		known := last.Period == u.Period || u.Period > p.unknown
		if last.Period != u.Period {
			last = peerUsage{}
		}
		p.counters[u.Workspace] = peerUsage{Usage: u, message: p.messages}
		b := l.byID[u.Workspace]
		if b == nil || !known {
			continue
		}
		admitted, asked, requests := float64(u.Admitted-last.Admitted), float64(u.Asked)-float64(last.Asked), float64(u.Requests)-float64(last.Requests)
		if admitted == 0 && asked <= 0 {
			continue
		}
		b.advance(l, t)
		b.level = min(b.level-admitted, b.burst*l.share)
		b.ask(t, max(0, requests), max(0, asked))
		l.activate(b)
	}
	if p.messages%unlistedMessages == 0 {
		for id, u := range p.counters {
			if p.messages-u.message >= unlistedMessages {
				delete(p.counters, id)
			}
		}
	}
}
