// Package failure defines the closed set of error kinds and maps each kind to
// the response that a caller receives.
package failure

import (
	"time"

	"github.com/juju/errors"
)

// Kind classifies an error.
type Kind uint8

// The kinds. Kind.Response returns the response for each.
const (
	None Kind = iota
	BadRequest
	Unauthorized
	UnknownModel
	UnknownRoute
	MissingKey
	KeyReused
	KeyExpired
	TooLarge
	RateLimited
	Overloaded
	DeadlinePassed
	NoUpstream
	PlatformDown
	LedgerFull
	Draining
	Quarantined
	UpstreamFailed
	OutcomeUnknown
	StreamLost
	Conflict
	ConfigStale
	CallerGone
	Internal
	RequestTimeout
	kindCount
)

// Verdict states what is known about the execution of a failed request.
type Verdict uint8

// The verdicts.
const (
	// NotRun means that no byte of the request reached an upstream, or that the
	// upstream refused the request before running it.
	NotRun Verdict = iota + 1
	// Unknown means that the request may have run.
	Unknown
)

// Response is the response that a caller receives for a kind. Name appears in the
// error body and in metrics.
type Response struct {
	Name       string
	Status     int
	Verdict    Verdict
	RetryAfter time.Duration
}

var responses = [kindCount]Response{
	None:           {Name: "none", Status: 200, Verdict: Unknown},
	BadRequest:     {Name: "badRequest", Status: 400, Verdict: NotRun},
	Unauthorized:   {Name: "unauthorized", Status: 401, Verdict: NotRun},
	UnknownModel:   {Name: "unknownModel", Status: 404, Verdict: NotRun},
	UnknownRoute:   {Name: "unknownRoute", Status: 404, Verdict: NotRun},
	MissingKey:     {Name: "missingIdempotencyKey", Status: 400, Verdict: NotRun},
	KeyReused:      {Name: "idempotencyKeyReused", Status: 422, Verdict: NotRun},
	KeyExpired:     {Name: "idempotencyKeyExpired", Status: 409, Verdict: Unknown},
	TooLarge:       {Name: "tooLarge", Status: 413, Verdict: NotRun},
	RateLimited:    {Name: "rateLimited", Status: 429, Verdict: NotRun, RetryAfter: time.Second},
	Overloaded:     {Name: "overloaded", Status: 503, Verdict: NotRun, RetryAfter: time.Second},
	DeadlinePassed: {Name: "deadlinePassed", Status: 504, Verdict: NotRun},
	NoUpstream:     {Name: "noUpstream", Status: 503, Verdict: NotRun, RetryAfter: time.Second},
	PlatformDown:   {Name: "platformDown", Status: 503, Verdict: NotRun, RetryAfter: 2 * time.Second},
	LedgerFull:     {Name: "ledgerFull", Status: 503, Verdict: NotRun, RetryAfter: time.Minute},
	Draining:       {Name: "draining", Status: 503, Verdict: NotRun, RetryAfter: time.Second},
	Quarantined:    {Name: "quarantined", Status: 422, Verdict: NotRun},
	UpstreamFailed: {Name: "upstreamFailed", Status: 502, Verdict: Unknown},
	OutcomeUnknown: {Name: "outcomeUnknown", Status: 502, Verdict: Unknown},
	StreamLost:     {Name: "streamLost", Status: 410, Verdict: Unknown},
	Conflict:       {Name: "conflict", Status: 409, Verdict: NotRun},
	ConfigStale:    {Name: "configStale", Status: 503, Verdict: NotRun, RetryAfter: time.Second},
	CallerGone:     {Name: "callerGone", Status: 499, Verdict: Unknown},
	Internal:       {Name: "internal", Status: 500, Verdict: Unknown},
	RequestTimeout: {Name: "requestTimeout", Status: 408, Verdict: NotRun},
}

// Response returns the response for k. A value outside the set is treated as
// Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the name of k as it appears in error bodies and metrics.
func (k Kind) String() string { return k.Response().Name }

type kindError struct {
	kind Kind
	err  error
}

func (e *kindError) Error() string { return e.err.Error() }
func (e *kindError) Unwrap() error { return e.err }

// New returns an error of kind k. The message should state how to resolve it.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, err: errors.Errorf(format, args...)}
}

// Wrap annotates err with msg and gives it kind k. It returns nil if err is nil.
func Wrap(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, err: errors.Annotate(err, msg)}
}

// KindOf returns the kind of err: Internal if it has none, and None if err is
// nil.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	var e *kindError
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}
