package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

const (
	model         = "m1"
	engineService = "loom-models"
	engineSlots   = 64
	eventCount    = 40
	eventInterval = 100 * time.Millisecond
	// longPrefill is the time to read a prompt of longBytes or more, about 36,000 tokens.
	longPrefill = time.Second
	longBytes   = 1 << 20
)

// engine is a sound model engine: it answers each request with a stream of events.
type engine struct {
	id     string
	record *record
	cache  *cache // nil if what the engine keeps isn't recorded

	mu      sync.Mutex
	running int
	ran     map[string]bool // by request id
}

// startEngine starts an engine and registers it.
func (f *fleet) startEngine(id string) (*engine, error) {
	e := &engine{id: id, record: f.record, ran: map[string]bool{}}
	addr, err := f.serve(e)
	if err != nil {
		return nil, err
	}
	return e, f.register(&traffic.Upstream{
		ID: id, Service: engineService, Address: addr, DataCentre: zone, Slots: engineSlots, Models: map[string]int{model: 1},
	})
}

// hasRun reports whether the engine began to work on a request.
func (e *engine) hasRun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(translate.HeaderRequestID)
	h := w.Header()
	h.Set(translate.HeaderRequestID, id)
	h.Set(translate.HeaderUpstream, e.id)
	if expected := r.Header.Get(translate.HeaderExpectedUpstream); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.begin(id) {
		h.Set(translate.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	e.record.printf("engine %s: runs %s (%d bytes)", e.id, id, n)
	if e.cache != nil {
		used, read := e.cache.use(e.id, r)
		e.record.printf("engine %s: %s of tenant %s, salt %q: %d parts found kept, %d read", e.id, id, r.Header.Get(translate.HeaderWorkspace), r.Header.Get(translate.HeaderCacheSalt), used, read)
	}
	h.Set(translate.HeaderStamp, "stamp-"+id)
	h.Set(translate.HeaderWeightVersions, "1")
	h.Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	if n >= longBytes {
		select {
		case <-r.Context().Done():
			e.record.printf("engine %s: the channel of %s was closed by the system before its first event", e.id, id)
			return
		case <-time.After(longPrefill):
		}
	}
	events := eventCount
	if s := r.URL.Query().Get("events"); s != "" {
		events, _ = strconv.Atoi(s) // written by the requesters of this tool
	}
	for n := 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			e.record.printf("engine %s: the channel of %s was closed by the system after %d events", e.id, id, n-1)
			return
		case <-time.After(eventInterval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n); err != nil {
			return
		}
		_ = rc.Flush() // the next write reports a closed channel
	}
}

func (e *engine) begin(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= engineSlots {
		return false
	}
	e.running++
	e.ran[id] = true
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
