// Package kvstore is a stand-in for the platform's key-value service:
// compare-and-swap, leases and watches over HTTP, with faults that can be
// switched on.
package kvstore

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Faults selects the faults of a Store.
type Faults struct {
	Down        bool `json:"down"`
	DelayMillis int  `json:"delayMillis"`
	// DropResponses applies each PUT and then closes the connection without a
	// response.
	DropResponses bool `json:"loseReplies"`
}

type item struct {
	platform.Entry
	lease string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory key-value service as an http.Handler.
type Store struct {
	clk      clock.Clock
	mu       sync.Mutex
	version  uint64
	items    map[string]item
	leases   map[string]lease
	changed  chan struct{}
	faults   Faults
	calls    map[string]int64
	handlers *http.ServeMux
}

// New returns an empty Store.
func New(clk clock.Clock) *Store {
	s := &Store{
		clk: clk, items: map[string]item{}, leases: map[string]lease{},
		changed: make(chan struct{}), calls: map[string]int64{}, handlers: http.NewServeMux(),
	}
	s.handlers.HandleFunc("GET /v1/kv/{key...}", s.get)
	s.handlers.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.handlers.HandleFunc("POST /v1/leases", s.grant)
	s.handlers.HandleFunc("PUT /v1/leases/{id}", s.keepAlive)
	s.handlers.HandleFunc("DELETE /v1/leases/{id}", s.revoke)
	s.handlers.HandleFunc("PUT /faults", s.setFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.calls[r.Method]++
	s.mu.Unlock()
	if r.URL.Path != "/faults" {
		if f.DelayMillis > 0 {
			<-s.clk.After(time.Duration(f.DelayMillis) * time.Millisecond)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.DropResponses && r.Method == http.MethodPut {
			s.handlers.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
	}
	s.handlers.ServeHTTP(w, r)
}

// discardWriter discards a response that the caller is not to receive.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Rollback replaces all keys by those of kept, as if the platform had lost its
// latest writes.
func (s *Store) Rollback(kept map[string]platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = map[string]item{}
	for k, e := range kept {
		s.items[k] = item{Entry: e}
	}
	s.notifyWatches()
}

// Peek returns the entry of key. Faults don't affect it, and Calls doesn't count it.
func (s *Store) Peek(key string) platform.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Entry
}

// Calls returns the number of calls so far by HTTP method.
func (s *Store) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.calls))
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// notifyWatches wakes the waiting calls of get. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the leases whose time has passed. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.clk.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds mu.
func (s *Store) removeLease(id string) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.lease == id {
			delete(s.items, k)
			s.notifyWatches()
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, err := platform.ParseVersion(r.URL.Query().Get("after"))
	watching := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitSeconds"))
	timeout := s.clk.After(time.Duration(wait) * time.Second)
	for {
		s.mu.Lock()
		s.expireLeases()
		it, changed := s.items[key], s.changed
		s.mu.Unlock()
		if !watching || it.Version != after {
			writeEntry(w, it.Entry)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			watching = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeEntry(w http.ResponseWriter, e platform.Entry) {
	if e.Version == 0 {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	writeJSON(w, e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

const maxValueBytes = 1 << 20

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	var in platform.Entry
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &in) != nil || len(in.Value) > maxValueBytes {
		http.Error(w, "bad value", http.StatusBadRequest)
		return
	}
	expected, err := platform.ParseVersion(r.URL.Query().Get("version"))
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	key, id := r.PathValue("key"), r.URL.Query().Get("lease")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; id != "" && !ok || s.items[key].Version != expected {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.version++
	s.items[key] = item{Entry: platform.Entry{Value: in.Value, Version: s.version}, lease: id}
	s.notifyWatches()
	writeJSON(w, platform.Entry{Version: s.version})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in platform.Lease
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLSeconds <= 0 {
		http.Error(w, "bad lease", http.StatusBadRequest)
		return
	}
	in.ID = uuid.NewString()
	ttl := time.Duration(in.TTLSeconds) * time.Second
	s.mu.Lock()
	s.leases[in.ID] = lease{ttl: ttl, expires: s.clk.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, in)
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l, ok := s.leases[r.PathValue("id")]
	if !ok {
		http.Error(w, "lapsed", http.StatusNotFound)
		return
	}
	l.expires = s.clk.Now().Add(l.ttl)
	s.leases[r.PathValue("id")] = l
	writeJSON(w, struct{}{})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(r.PathValue("id"))
	writeJSON(w, struct{}{})
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}
