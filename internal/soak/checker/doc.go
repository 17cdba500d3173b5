// Package checker checks the promises of a fleet against what its callers,
// upstreams and operators have seen. It does no I/O.
package checker
