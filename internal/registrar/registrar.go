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

// Registrar registers a node and renews its lease. It implements
// supervisor.Service.
type Registrar struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	store platform.Store
	node  traffic.Node
	lease uint64
}

// New returns a Registrar for n, which is not registered yet.
func New(clk clock.Clock, log logrus.FieldLogger, s platform.Store, n traffic.Node) *Registrar {
	return &Registrar{clk: clk, log: log, store: s, node: n}
}

// Name implements supervisor.Service.
func (r *Registrar) Name() string { return "registrar" }

// Run keeps the node registered until ctx ends, and then deregisters it.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.renewOrRegister(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).WithField("event", "registrationFailed").Info("node registration failed; retrying")
			wait = retryInterval
		}
		clock.Sleep(ctx, r.clk, wait)
	}
	return r.deregister(context.WithoutCancel(ctx))
}

// renewOrRegister renews the lease. Without a lease, or if it has ended, it registers
// the node under a new one.
func (r *Registrar) renewOrRegister(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.RenewLease(ctx, platform.LineFleet, r.lease)
		if !errors.Is(err, platform.LeaseEnded) {
			return errors.Trace(err)
		}
		r.lease = 0
		r.log.WithField("event", "leaseEnded").Warn("registration lease has ended; registering the node again")
	}
	value, err := msgpack.Marshal(&r.node)
	if err != nil {
		return errors.Trace(err)
	}
	lease, err := r.store.GrantLease(ctx, platform.LineFleet, leaseTTL)
	if err != nil {
		return errors.Trace(err)
	}
	put := platform.Put{Key: Prefix + r.node.Name, Value: value, Lease: lease}
	if _, err := r.store.Commit(ctx, platform.LineFleet, platform.Txn{Put: []platform.Put{put}}); err != nil {
		return errors.Trace(err)
	}
	r.lease = lease
	r.log.WithFields(logrus.Fields{"event": "registered", "lease": lease}).Info("node registered")
	return nil
}

// deregister removes the registration by ending its lease. If that fails, callers
// may still try this node, without success, until the lease expires.
func (r *Registrar) deregister(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	if err := r.store.EndLease(ctx, platform.LineFleet, r.lease); err != nil {
		r.log.WithError(err).WithField("event", "leaveFailed").Info("could not end the registration lease; the registration remains until the lease expires")
	}
	r.lease = 0
	return nil
}
