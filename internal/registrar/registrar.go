// Package registrar keeps a node registered in the platform's store under a lease,
// so that other nodes discover it and callers are directed to it.
package registrar

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Prefix is the prefix of the keys under which nodes are registered.
const Prefix = "auburnnotch/nodes/"

// maxMilliCores bounds the processor share of a node, by which aggregators are selected.
const maxMilliCores = 1 << 20

const (
	// leaseTTL is how long a crashed node stays registered. Callers are directed
	// away from it sooner, since the other nodes no longer receive its messages.
	leaseTTL = 13 * time.Second
	// renewInterval leaves time for two more attempts before the lease expires. It
	// is not shorter since each renewal is a charged call to the store.
	renewInterval = 4 * time.Second
	retryInterval = 300 * time.Millisecond
	// checkInterval is the time between two checks of the registration in the node's
	// own view, which makes no calls.
	checkInterval = 250 * time.Millisecond
	// maxConflicts bounds the tries of a registration whose condition doesn't hold.
	maxConflicts = 3
	// deregisterTimeout bounds the removal of the registration, which delays the
	// shutdown of the other services.
	deregisterTimeout = 1200 * time.Millisecond
)

// Decode decodes the registration of a node.
func Decode(value []byte) (*traffic.Node, error) {
	var n traffic.Node
	if err := packer.New(value).Unpack(&n); err != nil {
		return nil, errors.Annotate(err, "decode node registration")
	}
	if n.Name == "" || !isAddress(n.Entry) || !isAddress(n.Peer) || n.MilliCores < 0 || n.MilliCores > maxMilliCores {
		return nil, errors.NotValidf("node registration without name or addresses, or with %d milli-cores", n.MilliCores)
	}
	return &n, nil
}

// isAddress reports whether s is an IP address and a port. A name would be looked up.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// Fleet is the node's own view of the store.
type Fleet interface {
	// KeyRevision returns the revision of a key, 0 if it is absent, and the revision
	// of the store that the view covers, 0 before the first read.
	KeyRevision(key string) (revision, asOf uint64)
}

// Registrar registers a node and renews its lease. It implements
// supervisor.Service.
//
// Any of its writes may be executed late. Each registration is therefore conditional on
// the one that it replaces, and all writes of a process are under one lease until that
// has ended: a late one then finds its condition or its lease gone.
type Registrar struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	store platform.Store
	fleet Fleet
	node  traffic.Node
	lease uint64 // 0 if there is none, or if it has ended
	// revision is that of the registration under lease, 0 while that is missing or
	// its outcome isn't known.
	revision  uint64
	renewedAt time.Time
}

// New returns a Registrar for n, which is not registered yet.
func New(clk clock.Clock, log logrus.FieldLogger, s platform.Store, f Fleet, n traffic.Node) *Registrar {
	return &Registrar{clk: clk, log: log, store: s, fleet: f, node: n}
}

// Name implements supervisor.Service.
func (r *Registrar) Name() string { return "registrar" }

// Run keeps the node registered until ctx ends, and then deregisters it.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := checkInterval
		if err := r.maintain(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).WithField("event", "registrationFailed").Info("node registration failed; retrying")
			wait = retryInterval
		}
		clock.Sleep(ctx, r.clk, wait)
	}
	r.deregister(context.WithoutCancel(ctx))
	return nil
}

// maintain registers the node if it isn't registered, and renews the lease if that is due.
func (r *Registrar) maintain(ctx context.Context) error {
	if r.revision != 0 && r.isReplaced() {
		r.revision = 0
	}
	if r.revision == 0 {
		return r.register(ctx)
	}
	if r.clk.Now().Sub(r.renewedAt) < renewInterval {
		return nil
	}
	err := r.store.RenewLease(ctx, platform.LineFleet, r.lease)
	if errors.Is(err, platform.LeaseEnded) {
		r.log.WithField("event", "leaseEnded").Warn("registration lease has ended; registering the node again")
		r.lease, r.revision = 0, 0
		return r.register(ctx)
	}
	if err == nil {
		r.renewedAt = r.clk.Now()
	}
	return errors.Trace(err)
}

// isReplaced reports whether the node's view of the store, which is recent enough to have
// the registration, lacks it or has another one in its place.
func (r *Registrar) isReplaced() bool {
	found, asOf := r.fleet.KeyRevision(r.key())
	if asOf < r.revision || found == r.revision {
		return false
	}
	r.log.WithFields(logrus.Fields{"event": "registrationReplaced", "revision": r.revision, "found": found}).
		Warn("the registration of this node is missing or was replaced; registering it again")
	return true
}

func (r *Registrar) key() string { return Prefix + r.node.Name }

// register registers the node in place of what is registered under its name.
func (r *Registrar) register(ctx context.Context) error {
	value, err := msgpack.Marshal(&r.node)
	if err != nil {
		return errors.Trace(err)
	}
	if r.lease == 0 {
		granted := r.clk.Now()
		if r.lease, err = r.store.GrantLease(ctx, platform.LineFleet, leaseTTL); err != nil {
			r.lease = 0
			return errors.Trace(err)
		}
		r.renewedAt = granted
	}
	expect := platform.Expectation{Key: r.key()}
	expect.Revision, _ = r.fleet.KeyRevision(r.key())
	for range maxConflicts {
		r.revision, err = r.store.Commit(ctx, platform.LineFleet, platform.Txn{
			Expect: []platform.Expectation{expect}, Put: []platform.Put{{Key: r.key(), Value: value, Lease: r.lease}},
		})
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		current := conflict.State(r.key())
		if current.Lease == r.lease { // an earlier try, whose response was lost
			r.revision, err = current.Revision, nil
			break
		}
		expect.Revision = current.Revision
	}
	switch {
	case errors.Is(err, platform.LeaseEnded):
		r.lease, r.revision = 0, 0
		return errors.Trace(err)
	case err != nil:
		r.revision = 0
		return errors.Trace(err)
	}
	r.log.WithFields(logrus.Fields{"event": "registered", "lease": r.lease, "revision": r.revision}).Info("node registered")
	return nil
}

// deregister removes the registration by ending its lease, also if it isn't known whether
// the registration was executed. If that fails, callers may still try this node, without
// success, until the lease expires.
func (r *Registrar) deregister(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	for {
		err := r.store.EndLease(ctx, platform.LineFleet, r.lease)
		if err == nil || errors.Is(err, platform.LeaseEnded) {
			r.lease = 0
			return
		}
		if !clock.Sleep(ctx, r.clk, retryInterval) || ctx.Err() != nil {
			r.log.WithError(err).WithField("event", "leaveFailed").Info("could not end the registration lease; the registration remains until the lease expires")
			return
		}
	}
}
