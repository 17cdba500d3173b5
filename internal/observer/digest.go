package observer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Digest summarizes a snapshot of the store, so that nodes can detect whether
// their own snapshot is out of date.
type Digest struct {
	// Revision is the store's revision at the time of the read.
	Revision uint64
	// Hash covers the registered upstreams and nodes and the leader.
	Hash uint64
	// ConfigVersion is the version of the configuration.
	ConfigVersion uint64
	// Weights are the announced weights that the sender knows.
	Weights []traffic.Weights
}

// SetStoreReader sets the function that reports whether this node reads the
// store for other nodes too. It must be called before Run.
func (o *Observer) SetStoreReader(isStoreReader func() bool) { o.isStoreReader = isStoreReader }

// SetPace sets the function that returns when this node reads the store itself. It must be
// called before Run.
func (o *Observer) SetPace(pace func() roster.Pace) { o.pace = pace }

// Digest returns the digest of the latest snapshot. ok is false if the snapshot
// is too old for other nodes to rely on.
func (o *Observer) Digest() (d Digest, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d = Digest{Revision: o.revision, Hash: o.hash}
	if o.catalog != nil {
		d.ConfigVersion = o.catalog.Version
	}
	return d, !o.lastRead.IsZero() && o.clk.Now().Sub(o.lastRead) < maxDigestAge
}

// hash covers the state that nodes must agree on. Versions of models are excluded:
// those of upstreams and the announced ones are exchanged in messages. Nodes of
// different releases compare their hashes, so that its input is part of the protocol.
func (s *Snapshot) hash() uint64 {
	h := xxhash.New()
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		fmt.Fprintf(h, "%s %d %s %s %s %d %t\n", u.ID, u.StartedMS, u.Service, u.Address, u.DataCentre, u.Slots, u.Draining)
	}
	for i := range s.Nodes {
		fmt.Fprintf(h, "%s %s %d\n", s.Nodes[i].Name, s.Nodes[i].Entry, s.Nodes[i].BootID)
	}
	if s.Leader != nil {
		fmt.Fprintf(h, "%s %d", s.Leader.Node, s.Leader.Revision)
	}
	return h.Sum64()
}
