// Package observer maintains a node's view of the fleet. It polls the
// platform's store, watches the keys that operators write between two polls,
// and publishes the resulting snapshot to the node's other services.
package observer
