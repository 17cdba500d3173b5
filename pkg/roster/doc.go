// Package roster lists the nodes of a fleet, and names those that work for the
// others. It does no I/O.
package roster
