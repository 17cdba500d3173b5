// Package permitter decides which node may run a suspect, a request that may crash
// upstreams: one node at a time. Each suspect has one arbiter among the nodes, which
// keeps the node that was last permitted and asks it before it permits another.
package permitter

import (
	"sort"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

// permitTTL is how long a permission is remembered, which is as long as a suspect is kept.
const permitTTL = 10 * time.Minute

// Request asks the arbiter for the permission to run a suspect.
type Request struct {
	Fingerprint quarantiner.Fingerprint `msgpack:"f"`
	// Node is the node that asks, and names one start of it.
	Node string `msgpack:"n"`
	// Reports is what that node knows of the suspect.
	Reports []quarantiner.Report `msgpack:"r,omitempty"`
}

// Reply is the arbiter's reply to a Request.
type Reply struct {
	Verdict quarantiner.Verdict `msgpack:"v"`
	// Reports is what the arbiter knows of the suspect.
	Reports []quarantiner.Report `msgpack:"r,omitempty"`
}

// Query asks a node for its state of a suspect.
type Query struct {
	Fingerprint quarantiner.Fingerprint `msgpack:"f"`
}

type permit struct {
	node      string
	expiresAt time.Time
}

// Permitter holds the permissions that this node gave. It is not safe for concurrent use.
type Permitter struct {
	permits map[quarantiner.Fingerprint]permit
	limit   int
}

// New returns a Permitter that remembers up to limit permissions.
func New(limit int) *Permitter {
	return &Permitter{permits: map[quarantiner.Fingerprint]permit{}, limit: limit}
}

// Holder returns the node that was last permitted to run f, or an empty string.
func (p *Permitter) Holder(now time.Time, f quarantiner.Fingerprint) string {
	if h, ok := p.permits[f]; ok && now.Before(h.expiresAt) {
		return h.node
	}
	return ""
}

// Grant permits node to run f if from is still the holder, and reports whether it did.
func (p *Permitter) Grant(now time.Time, f quarantiner.Fingerprint, from, node string) bool {
	if p.Holder(now, f) != from {
		return false
	}
	p.permits[f] = permit{node: node, expiresAt: now.Add(permitTTL)}
	p.evict(now)
	return true
}

// evict removes expired permissions and then, above the limit, those that expire first.
func (p *Permitter) evict(now time.Time) {
	if len(p.permits) <= p.limit {
		return
	}
	all := make([]quarantiner.Fingerprint, 0, len(p.permits))
	for f, h := range p.permits {
		if !now.Before(h.expiresAt) {
			delete(p.permits, f)
			continue
		}
		all = append(all, f)
	}
	sort.Slice(all, func(i, j int) bool { return p.permits[all[i]].expiresAt.Before(p.permits[all[j]].expiresAt) })
	for _, f := range all[:max(0, len(all)-p.limit)] {
		delete(p.permits, f)
	}
}
