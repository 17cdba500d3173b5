// Package front is the HTTP server of an entry node. It checks and queues the
// requests of callers, forwards them to upstreams and streams the responses
// back. It also serves the list of entry nodes, the health checks and the API of
// the operators.
package front
