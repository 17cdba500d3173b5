// Package front is the HTTP side of a node, for callers and operators.
package front
