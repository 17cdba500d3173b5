package testlib

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/platform"
)

// Store is an in-memory platform.Store whose calls can be made to fail.
type Store struct {
	mu         sync.Mutex
	revision   uint64
	items      map[string]platform.Item
	keyLeases  map[string]uint64 // lease ID by key
	lastLease  uint64
	ended      map[uint64]bool // leases that have ended
	err        error
	rangeCalls int
	staleCalls int
	watchCalls int
	// stalePages are the pages that stale calls of Range return, nil for current ones.
	stalePages *platform.Page
	// history has the writes after the revision compacted, oldest first.
	history   []platform.Item
	compacted uint64
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty Store at revision 1.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]platform.Item{}, keyLeases: map[string]uint64{}, ended: map[uint64]bool{}}
}

// SetError makes all calls but Watch fail with err, until it is called with nil.
func (s *Store) SetError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// RangeCalls returns the number of calls of Range, failed ones included.
func (s *Store) RangeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeCalls
}

// PricedCalls returns the number of reads and watches as the platform charges them: a
// stale read counts a tenth.
func (s *Store) PricedCalls() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	const staleShare = 0.1
	return float64(s.rangeCalls-s.staleCalls+s.watchCalls) + staleShare*float64(s.staleCalls)
}

// FreezeStaleReads makes stale calls of Range return the current state from now on.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page("", "")
	s.stalePages = &p
}

// Set writes a key without a lease, as an operator or an upstream does.
func (s *Store) Set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, []byte(value), 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
}

// Item returns the item stored under key, and whether there is one.
func (s *Store) Item(key string) (platform.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	it, ok := s.items[key]
	if !ok {
		it.Created = s.revision
	}
	it.Key, it.Value, it.Revision = key, value, s.revision
	s.items[key] = it
	s.keyLeases[key] = lease
	s.history = append(s.history, it)
}

// Compact makes the store forget its history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// changes returns the writes of keys with prefix after a revision.
func (s *Store) changes(prefix string, after uint64) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return platform.Page{}, s.err
	case after < s.compacted:
		return platform.Page{}, platform.Compacted
	}
	p := platform.Page{Revision: s.revision}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			p.Items = append(p.Items, it)
		}
	}
	return p, nil
}

// Range implements platform.Store.
func (s *Store) Range(_ context.Context, _ platform.Line, prefix, after string, stale bool) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rangeCalls++
	if stale {
		s.staleCalls++
	}
	switch {
	case s.err != nil:
		return platform.Page{}, s.err
	case stale && s.stalePages != nil:
		return *s.stalePages, nil
	}
	return s.page(prefix, after), nil
}

// page returns the keys with prefix that sort after the key after.
func (s *Store) page(prefix, after string) platform.Page {
	p := platform.Page{Revision: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, it)
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Key < p.Items[j].Key })
	return p
}

// Watch implements platform.Store. Without a wait, it returns the changes so far. Else it reports
// none: it blocks until ctx ends and then returns platform.Unavailable.
func (s *Store) Watch(ctx context.Context, _ platform.Line, prefix string, after uint64, wait time.Duration) (platform.Page, error) {
	s.mu.Lock()
	s.watchCalls++
	s.mu.Unlock()
	if wait <= 0 {
		return s.changes(prefix, after)
	}
	<-ctx.Done()
	return platform.Page{}, platform.Unavailable
}

// Commit implements platform.Store.
func (s *Store) Commit(_ context.Context, _ platform.Line, t platform.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return 0, s.conflict(t)
		}
	}
	for _, p := range t.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.revision++
		delete(s.items, key)
	}
	return s.revision, nil
}

func (s *Store) conflict(t platform.Txn) *platform.ConflictError {
	e := &platform.ConflictError{}
	for _, x := range t.Expect {
		if it, ok := s.items[x.Key]; ok {
			e.Current = append(e.Current, platform.KeyState{Key: x.Key, Revision: it.Revision, Lease: s.keyLeases[x.Key]})
		}
	}
	return e
}

// GrantLease implements platform.Store.
func (s *Store) GrantLease(context.Context, platform.Line, time.Duration) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	return s.lastLease, s.err
}

// RenewLease implements platform.Store. Lease 0 has always ended.
func (s *Store) RenewLease(_ context.Context, _ platform.Line, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && (id == 0 || s.ended[id]) {
		return platform.LeaseEnded
	}
	return s.err
}

// EndLease implements platform.Store.
func (s *Store) EndLease(_ context.Context, _ platform.Line, id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.endLease(id)
	return nil
}

// ExpireLeases ends all leases at once and removes their keys, also while calls fail.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.lastLease {
		s.endLease(id + 1)
	}
}

// endLease ends a lease and removes its keys. Lease 0 has none. s.mu must be held.
func (s *Store) endLease(id uint64) {
	s.ended[id] = true
	for key, owner := range s.keyLeases {
		if owner == id && id != 0 {
			s.revision++
			delete(s.items, key)
			delete(s.keyLeases, key)
		}
	}
}
