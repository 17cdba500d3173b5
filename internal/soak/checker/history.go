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
	Node, Incarnation int
	Method            string
	Target            string
	BodyHash          uint64
	Workspace         string // that holds the key
	Key               string
	SentAt, EndedAt   time.Time
	// Timeout is the caller's time limit or the route's timeout, whichever is less.
	Timeout time.Duration
	// Status is 0 if no answer began.
	Status int
	// Complete says that the answer came to its proper end; Lost that the connection
	// ended before it.
	Complete, ConnectionLost bool
	Stamped                  bool
	ResponseID               string
	Body                     string
	// WantBody is the whole answer that the upstreams give to it.
	WantBody string
}

// Retryable reports whether the request may run more than once.
func (r *Request) Retryable() bool {
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
	StartedAt             time.Time
	Workspace, Method     string
	Target                string
	BodyHash              uint64
	Key                   string // that was passed on
	ResumedAfter          int
	Status                int
	Complete              bool
	Ended                 bool
	EndedAt               time.Time
	// Aborted says that the upstream ended it, not the node.
	Aborted bool
}

// Order is an order to an engine.
type Order struct {
	At               time.Time
	Upstream, Leader string
	FencingToken     uint64
}

// Disturbance is a time in which the bounds don't hold for a node, or for all
// nodes for -1.
type Disturbance struct {
	Node     int
	From, To time.Time
	// GracefulShutdown says that it is the node's own graceful stop and nothing else.
	GracefulShutdown bool
	// StoreOnly says that it is the store's and nothing else.
	StoreOnly bool
}

// History is what callers, upstreams and operators have seen.
type History struct {
	Requests []Request
	Runs     []Run
	Orders   []Order
	// RevokedAt has when keys were taken back, Left when upstreams were declared
	// leaving, by their names.
	RevokedAt, DrainedAt map[string]time.Time
	// RouteChanges are the times at which the moving route's service changed, in order.
	RouteChanges []RouteChange
	// MovingPrefix begins the targets of the route that moves.
	MovingPrefix string
	Disturbances []Disturbance
	// Shutdowns are the graceful stops of nodes, from the signal to the end.
	Shutdowns []Shutdown
	// FaultsEndedAt is when the last fault was over and End the end of the traffic.
	FaultsEndedAt, EndedAt time.Time
}

// RouteChange is a configuration that sends the moving route to a service.
type RouteChange struct {
	At      time.Time
	Service string
}

// Shutdown is a graceful stop of a node's process.
type Shutdown struct {
	Node, Incarnation int
	From, To          time.Time
}
