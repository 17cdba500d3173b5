// Package roster lists the nodes of a fleet and selects the aggregators among them,
// which read the store, place prompts and sum traffic reports for the others. Every
// node selects the same ones from the same list. The package does no I/O.
package roster
