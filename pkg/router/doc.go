// Package router chooses the engine for a prompt: it weighs the pieces that
// would have to be computed again against the work that already waits at each
// engine. It knows only what its own node has sent and been told, and does no
// I/O. Its methods stand in for events, so that a decision allocates nothing.
package router
