// Package roster lists the nodes of a fleet and selects the aggregators among them.
// Every node selects the same ones from the same list. The package does no I/O.
package roster
