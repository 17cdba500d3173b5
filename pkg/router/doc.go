// Package router chooses the engine for a prompt, which is split into pieces
// of a fixed size. For each candidate it adds the cost of the pieces that the
// engine doesn't have cached and the queueing delay there, and picks the
// cheapest. It uses only what its own node has sent and what reports and hints
// contain, and does no I/O. Events are passed as method calls rather than values,
// so that a decision doesn't allocate.
package router
