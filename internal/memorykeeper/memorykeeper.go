package memorykeeper

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/reserver"
)

// share is the share of the process's memory that requests and responses may take. The
// garbage collector, stacks, socket buffers and what the node itself knows need the rest.
const share = 0.4

// ErrFull reports that no memory is left.
const ErrFull = errors.ConstError("no memory is left for requests and responses")

// Keeper reserves memory. It is safe for concurrent use.
type Keeper struct {
	clk     clock.Clock
	held    tally.Gauge
	waiting tally.Gauge
	refused tally.Counter

	mu       sync.Mutex
	reserver *reserver.Reserver
	granted  map[*reserver.Reservation]chan struct{} // closed when the bytes it waits for are reserved
}

// New returns a Keeper for a process with the given memory in bytes.
func New(clk clock.Clock, scope tally.Scope, memory int64) *Keeper {
	scope = scope.SubScope("memory")
	return &Keeper{
		clk: clk, held: scope.Gauge("held_bytes"), waiting: scope.Gauge("waiting_bodies"), refused: scope.Counter("refusals"),
		reserver: reserver.New(int64(share * float64(memory))), granted: map[*reserver.Reservation]chan struct{}{},
	}
}

// Response returns an empty reservation for a response.
func (k *Keeper) Response() *Reservation {
	return &Reservation{keeper: k, r: k.reserver.OpenResponse()}
}

// body returns an empty reservation for a body. Its waiting ends once patience has passed
// in sum.
func (k *Keeper) body(workspace string, size int64, patience time.Duration) *Reservation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &Reservation{keeper: k, r: k.reserver.OpenBody(workspace, size), patience: patience}
}

// update wakes those that need no longer wait. The lock must be held.
func (k *Keeper) update(granted []*reserver.Reservation) {
	for _, g := range granted {
		close(k.granted[g])
		delete(k.granted, g)
	}
	k.held.Update(float64(k.reserver.Used()))
	k.waiting.Update(float64(k.reserver.Waiting()))
}

// Reservation is the memory of one request body or response. It must be released.
type Reservation struct {
	keeper   *Keeper
	r        *reserver.Reservation
	patience time.Duration // how long it may wait from now on
	waited   time.Duration
}

// Reserve reserves n more bytes, or returns ErrFull at once.
func (v *Reservation) Reserve(n int64) error {
	k := v.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.reserver.Reserve(v.r, n) {
		k.refused.Inc(1)
		return ErrFull
	}
	k.update(nil)
	return nil
}

// await reserves n more bytes. It waits for them if they may still fit.
func (v *Reservation) await(ctx context.Context, n int64) error {
	k := v.keeper
	k.mu.Lock()
	if k.reserver.Reserve(v.r, n) {
		k.update(nil)
		k.mu.Unlock()
		return nil
	}
	if v.patience <= 0 || !k.reserver.CouldFit(v.r, n) {
		k.refused.Inc(1)
		k.mu.Unlock()
		return ErrFull
	}
	granted := make(chan struct{})
	k.granted[v.r] = granted
	k.reserver.Wait(v.r, n)
	k.update(nil)
	k.mu.Unlock()

	start := k.clk.Now()
	defer func() {
		d := k.clk.Now().Sub(start)
		v.waited, v.patience = v.waited+d, v.patience-d
	}()
	err := error(ErrFull)
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		err = errors.Trace(context.Cause(ctx))
	case <-k.clk.After(v.patience):
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.granted[v.r]; !ok { // granted meanwhile
		return nil
	}
	delete(k.granted, v.r)
	k.update(k.reserver.Withdraw(v.r))
	k.refused.Inc(1)
	return err
}

// complete records that v grows no further.
func (v *Reservation) complete() {
	v.keeper.mu.Lock()
	defer v.keeper.mu.Unlock()
	v.keeper.update(v.keeper.reserver.Complete(v.r))
}

// Release returns all reserved bytes.
func (v *Reservation) Release() {
	v.keeper.mu.Lock()
	defer v.keeper.mu.Unlock()
	v.keeper.update(v.keeper.reserver.Release(v.r))
}
