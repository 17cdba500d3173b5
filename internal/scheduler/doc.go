// Package scheduler owns the decisions of a node: admission, routing, the
// retry budget and the quarantine. One goroutine takes its commands from a
// bounded ring, so that the decision packages need no locks.
package scheduler
