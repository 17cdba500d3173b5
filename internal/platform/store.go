package platform

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Further errors of a Store.
const (
	// Throttled means that the store rejected the call because the fleet calls too
	// often. Nothing was changed.
	Throttled = errors.ConstError("store throttled the call")
	// Compacted means that the requested changes are no longer stored. The caller
	// must read the whole range again.
	Compacted = errors.ConstError("requested revision was compacted")
	// LeaseEnded means that a lease has expired or never existed.
	LeaseEnded = errors.ConstError("lease has ended")
)

// LineFleet is the budget line of registrations and of reading the state of the
// fleet.
const LineFleet Line = "fleet"

// Item is the state or a change of one key of a Store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the key, Created the
	// one at its creation.
	Revision, Created uint64
	// Removed is set for a change that removed the key.
	Removed bool
}

// Page is one page of a range, in key order.
type Page struct {
	Items []Item
	// More is set if the range continues after the last item.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// Expectation is a condition of a Txn: the revision that a key must have, 0 for
// absent.
type Expectation struct {
	Key      string
	Revision uint64
}

// Put writes a key. If Lease is not 0, the key is removed when that lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// KeyState is the current state of a key that a condition names.
type KeyState struct {
	Key             string
	Revision, Lease uint64
}

// ConflictError is the Conflict of a Txn, with the keys that its conditions name as far
// as they exist.
type ConflictError struct{ Current []KeyState }

// Error implements error.
func (*ConflictError) Error() string { return Conflict.Error() }

// Is reports whether target is Conflict.
func (*ConflictError) Is(target error) bool { return target == Conflict }

// State returns the current state of key. Its revision is 0 if the key is absent.
func (e *ConflictError) State(key string) KeyState {
	for _, s := range e.Current {
		if s.Key == key {
			return s
		}
	}
	return KeyState{Key: key}
}

// Txn is an atomic change of several keys. It is applied only if every condition in
// Expect holds.
type Txn struct {
	Expect []Expectation
	Put    []Put
	Remove []string
}

// Store is a key-value store with transactions, leases that own keys, and a
// history that can be watched. Errors are Conflict (of Commit, a ConflictError), Unavailable (nothing was
// changed), Uncertain (a change may have taken effect or may still do so),
// Throttled, Compacted and LeaseEnded.
//
// If the store comes back from an older copy, a new era begins: see Era. Watches from an earlier
// era are Compacted, leases of one have ended, and conditions on a revision of one don't hold.
type Store interface {
	// Range reads the keys with prefix that sort after the key after. The result
	// is linearizable unless stale is set.
	Range(ctx context.Context, line Line, prefix, after string, stale bool) (Page, error)
	// Watch waits up to wait for changes of keys with prefix, made after the
	// revision after.
	Watch(ctx context.Context, line Line, prefix string, after uint64, wait time.Duration) (Page, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, line Line, t Txn) (uint64, error)
	// GrantLease creates a lease, whose ttl starts when the call arrives at the
	// store.
	GrantLease(ctx context.Context, line Line, ttl time.Duration) (uint64, error)
	// RenewLease restarts the ttl of a lease.
	RenewLease(ctx context.Context, line Line, id uint64) error
	// EndLease ends a lease and removes its keys.
	EndLease(ctx context.Context, line Line, id uint64) error
}
