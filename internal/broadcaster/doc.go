// Package broadcaster tells the nodes of a fleet what each has sent to upstreams and
// what it has learnt, by datagrams that may be lost: each one has the whole
// state, but for what was sent since the last one.
package broadcaster
