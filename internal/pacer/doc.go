// Package pacer keeps the nodes of `serve` together to the rates that upstreams name in their
// responses. One live node, the arbiter of an upstream, decides about each request to it; it gives out
// the part of the rate that the nodes which it finds alive have in all nodes that it has heard of
// within two hours, so that two sides of a partition together keep to the rate. A node that
// its arbiter doesn't answer uses a third of its own part of the rate.
//
// A Pacer also keeps the times for which upstreams want no request of this node.
package pacer
