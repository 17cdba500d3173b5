// Package feeder lets nodes request the changes of the store from the nodes that read
// it. A change then costs a datagram for each node instead of a read of the store.
package feeder
