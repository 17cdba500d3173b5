// Package testlib supports tests and the demo command. Fleet runs the router and
// its stand-ins as processes on loopback, and Caller sends requests to them.
// Upstream, Store, Clock and Timeline replace an upstream, the platform's store
// and time within one test process.
package testlib
