// Package plainservice is a stand-in for a plain service, one that isn't a model
// engine. It records every executed call, so that a test can detect a call that
// ran twice.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Faults selects the faults of a Service.
type Faults struct {
	// BreakAfterRun executes a call and closes the connection without a response.
	BreakAfterRun bool `json:"breakAfterRun"`
	// Refuse rejects calls with status 503 and the header wire.HeaderNotRun.
	Refuse bool `json:"refuse"`
	// Silent is the number of calls from now on that aren't executed and get no
	// response, on a connection that stays open.
	Silent int `json:"silent"`
	// DelayMillis delays each response.
	DelayMillis int `json:"delayMillis"`
}

// Run is one executed call.
type Run struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is a plain service as an http.Handler. The path /runs returns the
// executed calls; any other path executes a call.
type Service struct {
	clk    clock.Clock
	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// New returns a Service that has executed no calls.
func New(clk clock.Clock) *Service { return &Service{clk: clk} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the executed calls in the order of their execution.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

type receipt struct {
	Number int    `json:"number"`
	Path   string `json:"path"`
	Echo   string `json:"echo"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if id := r.Header.Get(wire.HeaderAttempt); id != "" {
		w.Header().Set(wire.HeaderAttempt, id)
	}
	if r.URL.Path == "/runs" {
		_ = json.NewEncoder(w).Encode(s.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	if f.Refuse {
		s.mu.Unlock()
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f.Silent > 0 {
		s.faults.Silent--
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	s.runs = append(s.runs, Run{Path: r.URL.Path, Key: r.Header.Get(wire.HeaderIdempotencyKey), Body: string(body)})
	n := len(s.runs)
	s.mu.Unlock()
	if f.DelayMillis > 0 {
		<-s.clk.After(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if f.BreakAfterRun {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(receipt{Number: n, Path: r.URL.Path, Echo: string(body)})
}
