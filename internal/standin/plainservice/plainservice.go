// Package plainservice is the stand-in of a service beside the engines. It
// counts every run, so that a test can see a call that ran twice.
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

// Faults is what the service does wrong.
type Faults struct {
	// BreakAfterRun runs a call and breaks the connection unanswered.
	BreakAfterRun bool `json:"breakAfterRun"`
	// Refuse answers 503 with the not-run mark.
	Refuse bool `json:"refuse"`
	// Silent is how many calls get no answer on their connection.
	Silent int `json:"silent"`
	// DelayMillis waits before each answer.
	DelayMillis int `json:"delayMillis"`
}

// Run is one executed call.
type Run struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is an http.Handler.
type Service struct {
	clk    clock.Clock
	mu     sync.Mutex
	runs   []Run
	faults Faults
}

// New returns a Service without runs.
func New(clk clock.Clock) *Service { return &Service{clk: clk} }

// SetFaults switches the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the executed calls in order.
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
