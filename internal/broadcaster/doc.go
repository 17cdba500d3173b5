// Package broadcaster exchanges traffic reports and other local state between
// the nodes of a fleet in UDP datagrams. Datagrams may be lost, so each one
// carries the sender's whole state. Only placements are sent once, in the next
// datagram.
package broadcaster
