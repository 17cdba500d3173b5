// Package wire names the headers and bodies that the router exchanges with
// callers and upstreams beside the OpenAI form.
package wire

import "time"

// The headers towards upstreams.
const (
	HeaderAttempt     = "X-Attempt-Id"
	HeaderRequest     = "X-Request-Id"
	HeaderSalt        = "X-Cache-Salt"
	HeaderPriority    = "X-Priority"
	HeaderResumeFrom  = "X-Resume-From"
	HeaderIncarnation = "X-Incarnation"
	// HeaderNotRun on an upstream's refusal says that it did not run the
	// request.
	HeaderNotRun = "X-Not-Run"
	// HeaderIdempotencyKey comes from callers and is passed on.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID comes from callers that resume a stream.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderDeadline is a caller's deadline in seconds from now.
	HeaderDeadline = "X-Deadline-Seconds"
	// HeaderClass is a caller's wish for a class.
	HeaderClass = "X-Class"
	// HeaderUpstream tells a caller which upstream answered first.
	HeaderUpstream = "X-Upstream"
)

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells what went wrong and whether the request was run.
type ErrorDetail struct {
	Kind           string `json:"kind"`
	Message        string `json:"message"`
	RequestID      string `json:"requestId"`
	NotRun         bool   `json:"notRun,omitempty"`
	OutcomeUnknown bool   `json:"outcomeUnknown,omitempty"`
}

// Load is an engine's report of itself.
type Load struct {
	Incarnation string `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// PendingPieces is the prefill work that waits, in pieces, by class:
	// interactive, standard, batch.
	PendingPieces [3]int `json:"pendingPieces"`
	// Leaving says that the engine takes no new work.
	Leaving bool `json:"leaving"`
	// Model and Version are what it serves now.
	Model   string `json:"model"`
	Version string `json:"version"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders. Each states an end state and is idempotent.
const (
	OrderLoad   OrderKind = "load"
	OrderExport OrderKind = "export"
	OrderImport OrderKind = "import"
	OrderDrain  OrderKind = "drain"
)

// Order is sent to an engine.
type Order struct {
	ID           string    `json:"id"`
	Kind         OrderKind `json:"kind"`
	FencingToken uint64    `json:"fencingToken"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Hashes       []uint64  `json:"hashes,omitempty"`
	IssuedAt     time.Time `json:"issuedAt"`
}

// Entries answers GET /v1/entries.
type Entries struct {
	Entries []Entry `json:"entries"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds float64 `json:"keepSeconds"`
}

// Entry is an address of a node.
type Entry struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}
