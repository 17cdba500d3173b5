// Package registrar keeps a node registered in the platform's store under a
// lease, so that other nodes find it and callers are sent to it.
package registrar

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Prefix is where the nodes are registered.
const Prefix = "auburnnotch/nodes/"

const (
	// leaseTime is how long a node that is gone stays registered. Its silence
	// among the nodes keeps callers from it sooner.
	leaseTime = 13 * time.Second
	// renewEvery leaves two more tries within the lease; each is a priced call.
	renewEvery = 4 * time.Second
	retryEvery = 300 * time.Millisecond
)

// Decode reads the registration of a node.
func Decode(value []byte) (*traffic.Node, error) {
	var n traffic.Node
	if err := msgpack.Unmarshal(value, &n); err != nil {
		return nil, errors.Annotate(err, "registration of a node")
	}
	return &n, nil
}

// Registrar is a supervisor service.
type Registrar struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	store platform.Store
	node  traffic.Node
	lease uint64
}

// New returns a Registrar of a node that isn't registered.
func New(clk clock.Clock, log logrus.FieldLogger, s platform.Store, n traffic.Node) *Registrar {
	return &Registrar{clk: clk, log: log, store: s, node: n}
}

// Name implements supervisor.Service.
func (r *Registrar) Name() string { return "registrar" }

// Run keeps the node registered until ctx ends, and takes it off the list then.
func (r *Registrar) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := renewEvery
		if err := r.keep(ctx); err != nil && ctx.Err() == nil {
			r.log.WithError(err).WithField("event", "registrationFailed").Info("the registration is tried again")
			wait = retryEvery
		}
		clock.Sleep(ctx, r.clk, wait)
	}
	return r.leave(context.WithoutCancel(ctx))
}

// keep renews the lease, or registers anew.
func (r *Registrar) keep(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.RenewLease(ctx, platform.LineFleet, r.lease)
		if !errors.Is(err, platform.LeaseEnded) {
			return errors.Trace(err)
		}
		r.lease = 0
		r.log.WithField("event", "leaseEnded").Warn("the registration has lapsed")
	}
	value, err := msgpack.Marshal(&r.node)
	if err != nil {
		return errors.Trace(err)
	}
	lease, err := r.store.GrantLease(ctx, platform.LineFleet, leaseTime)
	if err != nil {
		return errors.Trace(err)
	}
	put := platform.Put{Key: Prefix + r.node.Name, Value: value, Lease: lease}
	if _, err := r.store.Commit(ctx, platform.LineFleet, platform.Txn{Put: []platform.Put{put}}); err != nil {
		return errors.Trace(err)
	}
	r.lease = lease
	r.log.WithFields(logrus.Fields{"event": "registered", "lease": lease}).Info("the node is registered")
	return nil
}

// leave takes the node off the list. A failure costs callers a try until the
// lease lapses.
func (r *Registrar) leave(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	if err := r.store.EndLease(ctx, platform.LineFleet, r.lease); err != nil {
		r.log.WithError(err).WithField("event", "leaveFailed").Info("the registration ends with its lease")
	}
	r.lease = 0
	return nil
}
