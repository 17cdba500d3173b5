// Package wire defines the headers and bodies that the router exchanges with
// callers and upstreams in addition to those of the OpenAI API.
package wire

import "time"

// The HTTP headers. Those without a comment are exchanged with upstreams;
// HeaderRequest is also set on the responses to callers.
const (
	// HeaderAttempt names the attempt. An upstream that repeats it in its response lets
	// the router detect late copies of earlier responses.
	HeaderAttempt     = "X-Attempt-Id"
	HeaderRequest     = "X-Request-Id"
	HeaderSalt        = "X-Cache-Salt"
	HeaderPriority    = "X-Priority"
	HeaderResumeFrom  = "X-Resume-From"
	HeaderIncarnation = "X-Incarnation"
	// HeaderNotRun is set by an upstream that refuses a request without having
	// run it.
	HeaderNotRun = "X-Not-Run"
	// HeaderRate is set by an upstream that limits its requests: how many per second it takes
	// from all nodes together, as a decimal number. It holds until a response without it.
	HeaderRate = "X-Request-Rate"
	// HeaderIdempotencyKey is set by callers and forwarded to upstreams.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID is set by callers that resume a stream.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderDeadline is the caller's deadline in seconds after the arrival of the
	// request.
	HeaderDeadline = "X-Deadline-Seconds"
	// HeaderClass is the class that the caller requests.
	HeaderClass = "X-Class"
	// HeaderUpstream reports to the caller which upstream responded first.
	HeaderUpstream = "X-Upstream"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and whether the request may have run.
type ErrorDetail struct {
	Kind           string `json:"kind"`
	Message        string `json:"message"`
	RequestID      string `json:"requestId"`
	NotRun         bool   `json:"notRun,omitempty"`
	OutcomeUnknown bool   `json:"outcomeUnknown,omitempty"`
}

// Load is an engine's load report.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// PendingPieces is the queued prefill work in pieces, by class: interactive,
	// standard, batch.
	PendingPieces [3]int `json:"pendingPieces"`
	// Leaving means that the engine accepts no new work.
	Leaving bool `json:"leaving"`
	// Model and Version identify the weights that the engine serves.
	Model   string `json:"model"`
	Version string `json:"version"`
}

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders. Each describes a target state and is idempotent.
const (
	OrderLoad   OrderKind = "load"
	OrderExport OrderKind = "export"
	OrderImport OrderKind = "import"
	OrderDrain  OrderKind = "drain"
)

// Order is the body of an order to an engine. Its fencing token lets the engine
// reject the orders of an earlier leader.
type Order struct {
	ID           string    `json:"id"`
	Kind         OrderKind `json:"kind"`
	FencingToken uint64    `json:"fencingToken"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Hashes       []uint64  `json:"hashes,omitempty"`
	IssuedAt     time.Time `json:"issuedAt"`
}

// Entries is the response of GET /v1/entries: the nodes that callers can use.
type Entries struct {
	Entries []Entry `json:"entries"`
	// KeepSeconds is how long the response may be cached.
	KeepSeconds float64 `json:"keepSeconds"`
}

// Entry is the address of an entry node.
type Entry struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}
