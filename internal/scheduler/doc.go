// Package scheduler serializes the scheduling decisions of a node: admission,
// the choice of an upstream, the retry budget, and the quarantine of requests
// that crash upstreams. One goroutine reads commands from a bounded queue, so
// the packages that implement these decisions need no locks.
package scheduler
