package observer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest sums up a look at the store, so that nodes can tell whether theirs is
// as good.
type Digest struct {
	// Revision of the store when it was read.
	Revision uint64
	// Hash is a hash over the registered upstreams and nodes.
	Hash uint64
	// ConfigVersion is the version of the configuration.
	ConfigVersion uint64
}

// SetStoreReader tells whether this node reads the store for others too. It is
// called before Run.
func (o *Observer) SetStoreReader(reader func() bool) { o.isStoreReader = reader }

// Digest sums up the last look at the store. ok is false if that look is too
// old for others to rely on.
func (o *Observer) Digest() (d Digest, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d = Digest{Revision: o.revision, Hash: o.hash}
	if o.catalog != nil {
		d.ConfigVersion = o.catalog.Version
	}
	return d, !o.lastRead.IsZero() && o.clk.Now().Sub(o.lastRead) < maxDigestAge
}

// ReceiveDigest takes a reader's word about the store: if it has seen something
// else later, the store is read at once.
func (o *Observer) ReceiveDigest(d Digest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if d.Revision < o.revision {
		return
	}
	o.digestReceived, o.digestRevision = o.clk.Now(), d.Revision
	behind := o.catalog == nil || d.ConfigVersion > o.catalog.Version
	if behind || d.Hash != o.hash && d.Revision > o.revision {
		select {
		case o.trigger <- struct{}{}:
		default:
		}
	}
}

// hash hashes what nodes must agree on. Versions of weights are told otherwise.
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
