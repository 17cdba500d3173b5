package checker

import (
	"net/http"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Request is a request that a caller sent, and its outcome.
type Request struct {
	ID   string
	Kind traffic.Kind
	// Resumable is set if an interrupted stream may run again and continue after
	// the last event received.
	Resumable   bool
	MaxAttempts int
	// Node and Incarnation identify the process that received the request.
	Node, Incarnation int
	Method            string
	Target            string
	Route             string  // path prefix; streams of a route share their first part
	Poison            *Poison // nil for a sound request
	BodyHash          uint64
	Workspace         string // owner of Key
	Key               string
	SentAt, EndedAt   time.Time
	// Timeout is the caller's timeout or the route's, whichever is less.
	Timeout time.Duration
	// Status is 0 if no response was received.
	Status int
	// SentWhole is set if the request was sent to its last byte, TimedOut if its caller
	// waited in vain until some time after Timeout.
	SentWhole, TimedOut bool
	// Complete is set if the whole response was received, ConnectionLost if the
	// connection ended before that.
	Complete, ConnectionLost bool
	Stamped                  bool   // the response has an upstream's stamp
	ResponseID               string // request ID in the response
	Body                     string
	// WantBody is the response body that every upstream returns for the request.
	WantBody string
}

// Retryable reports whether the request may run more than once.
func (r *Request) Retryable() bool {
	return r.Kind == traffic.Safe || r.Kind == traffic.Streaming && r.Resumable
}

// guaranteesNotRun reports whether the status guarantees that the request hasn't
// run and never will.
func (r *Request) guaranteesNotRun() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Run is one execution of a request at an upstream.
type Run struct {
	ID, Upstream, Service string
	StartedAt             time.Time
	Workspace, Method     string
	Target                string
	BodyHash              uint64
	Key                   string // forwarded caller key; must be empty
	CacheSalt             string // separates cached parts; empty for plain services
	ResumedAfter          int    // last event that the caller already had
	Status                int
	Complete              bool
	Ended                 bool
	EndedAt               time.Time
	// Aborted is set if the upstream ended the run early, not the node.
	Aborted bool
	// Leaving is set if the response says that the upstream is leaving.
	Leaving bool
	// Rate is how many requests per second the upstream says that it takes, 0 if it doesn't say.
	Rate float64
	// Faulty is set if the upstream had faults.
	Faulty bool
}

// TurnAway is a request that an upstream rejected, asking its node for no more for a time.
type TurnAway struct {
	At           time.Time
	ID, Upstream string
	For          time.Duration
}

// Order is an order that an engine received from a leader.
type Order struct {
	At               time.Time
	Upstream, Leader string
	FencingToken     uint64
}

// Poison is the cause for which requests crash the upstreams that start to respond to
// them: a part of their prompt or, if Part is not set, the whole request.
type Poison struct {
	Name, Route string
	Part        bool
	// Alone is set if it comes in place of the sound requests to its service.
	Alone bool
}

// Crash is the crash of an upstream by a poison request.
type Crash struct {
	At        time.Time
	RequestID string
}

// Disturbance is a period in which the bounds don't apply to a node, or to any
// node if Node is -1.
type Disturbance struct {
	Node     int
	From, To time.Time
	// GracefulShutdown is set if the node's graceful shutdown is the only cause.
	GracefulShutdown bool
	// StoreOnly is set if a fault of the store is the only cause, UpstreamOnly if it is one
	// of the links to upstreams.
	StoreOnly, UpstreamOnly bool
}

// History is the record of a soak test as callers, upstreams and operators saw it.
type History struct {
	Requests []Request
	Runs     []Run
	Orders   []Order
	// Left lists the requests whose callers have left right after sending them, which aren't in
	// Requests.
	Left []Left
	// TurnAways lists the requests that upstreams rejected, asking for no more.
	TurnAways []TurnAway
	// RevokedAt holds the time at which each key was revoked, DrainedAt the time at
	// which each upstream was registered as draining, by its ID.
	RevokedAt, DrainedAt map[string]time.Time
	// RouteChanges lists the changes of the moving route's service, oldest first.
	RouteChanges []RouteChange
	// MovingPrefix is the path prefix of the moving route, whose service changes
	// during the soak.
	MovingPrefix string
	// Walls lists when workspaces became isolated or ceased to be, oldest first.
	Walls []Wall
	// Limits lists the workspaces with a rate limit, which holds from the start.
	Limits       []Limit
	Poisons      []*Poison
	Crashes      []Crash
	Disturbances []Disturbance
	// Shutdowns lists the graceful shutdowns of nodes.
	Shutdowns []Shutdown
	// FaultsEndedAt is the end of the last fault, EndedAt the end of the traffic.
	FaultsEndedAt, EndedAt time.Time
}

// RouteChange is a configuration that directs the moving route to a service.
type RouteChange struct {
	At      time.Time
	Service string
}

// Wall is a configuration that isolates a workspace, or doesn't any more.
type Wall struct {
	At        time.Time
	Workspace string
	Isolated  bool
}

// Shutdown is a graceful shutdown of a node's process, from SIGTERM to its exit.
type Shutdown struct {
	Node, Incarnation int
	From, To          time.Time
}
