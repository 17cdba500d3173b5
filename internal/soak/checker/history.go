package checker

import (
	"net/http"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Request is an attempt of a caller and what came of it.
type Request struct {
	ID   string
	Kind traffic.Kind
	// Resumable streams may run again from a given event on.
	Resumable   bool
	MaxAttempts int
	// Node and Life name the process that took it.
	Node, Life      int
	Method          string
	Target          string
	BodyHash        uint64
	Workspace       string // that holds the key
	Key             string
	SentAt, EndedAt time.Time
	// Limit is the caller's time limit or the route's timeout, whichever is less.
	Limit time.Duration
	// Status is 0 if no answer began.
	Status int
	// Whole says that the answer came to its proper end; Lost that the connection
	// ended before it.
	Whole, Lost bool
	Genuine     bool
	AnswersID   string
	Body        string
	// Want is the whole answer that the upstreams give to it.
	Want string
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool {
	return r.Kind == traffic.Safe || r.Kind == traffic.Streaming && r.Resumable
}

// notRun has the statuses that promise that the request hasn't run and never
// will.
func (r *Request) notRun() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Run is the beginning of a request's work at an upstream, and its end.
type Run struct {
	ID, Upstream, Service string
	At                    time.Time
	Tenant, Method        string
	Target                string
	BodyHash              uint64
	Key                   string // that was passed on
	After                 int
	Status                int
	Whole                 bool
	Ended                 bool
	EndedAt               time.Time
	// Broke says that the upstream ended it, not the node.
	Broke bool
}

// Order is an order to an engine.
type Order struct {
	At               time.Time
	Upstream, Holder string
	Fence            uint64
}

// Disturbance is a time in which the bounds don't hold for a node, or for all
// nodes for -1.
type Disturbance struct {
	Node     int
	From, To time.Time
	// Stopping says that it is the node's own graceful stop and nothing else.
	Stopping bool
	// Store says that it is the store's and nothing else.
	Store bool
}

// History is what callers, upstreams and operators have seen.
type History struct {
	Requests []Request
	Runs     []Run
	Orders   []Order
	// Taken has when keys were taken back, Left when upstreams were declared
	// leaving, by their names.
	Taken, Left map[string]time.Time
	// Moves are the times at which the moving route's service changed, in order.
	Moves []Move
	// Moving begins the targets of the route that moves.
	Moving       string
	Disturbances []Disturbance
	// Stops are the graceful stops of nodes, from the signal to the end.
	Stops []Stop
	// Quiet is when the last fault was over and End the end of the traffic.
	Quiet, End time.Time
}

// Move is a configuration that sends the moving route to a service.
type Move struct {
	At      time.Time
	Service string
}

// Stop is a graceful stop of a node's process.
type Stop struct {
	Node, Life int
	From, To   time.Time
}
