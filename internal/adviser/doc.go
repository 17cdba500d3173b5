// Package adviser asks the node in charge of placement where to send a prompt,
// and answers such questions where this node is in charge: one node that knows
// what all have sent makes better use of engines and their caches than many that
// know it late.
package adviser
