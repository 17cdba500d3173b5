// Package checker verifies the guarantees of a fleet after a soak test. It takes
// the recorded history of requests, of their runs at upstreams and of orders to
// engines, and returns each violated guarantee. It does no I/O.
package checker
