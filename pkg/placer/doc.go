// Package placer chooses the upstream for a request. A prompt goes to the engine
// with the lowest expected cost: the prefill that the engine's prefix cache
// doesn't save, the queueing delay, and the load there. A plain request goes to
// the upstream with the least load per slot.
//
// Nodes exchange traffic reports, so that each counts what its peers have sent. A
// node that receives the reports of all others can act as placement coordinator
// and place their prompts on request; see Placer.Advise and Placer.Follow.
//
// The package does no I/O.
package placer
