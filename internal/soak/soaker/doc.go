// Package soaker runs a soak test: it starts a fleet of real node processes with
// stand-ins for the platform's store and the upstreams, sends requests as callers
// do, injects the planned faults, and records what callers and upstreams observe.
package soaker
