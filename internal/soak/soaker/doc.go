// Package soaker runs a fleet of real processes with stand-ins of the outside
// systems, strikes it with faults, and keeps what callers and upstreams see.
package soaker
