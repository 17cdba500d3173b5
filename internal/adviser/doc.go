// Package adviser asks the placement coordinator where to send a prompt, and
// answers such questions on the node that is the coordinator. One node that has
// the current load of all nodes uses engines and their caches better than many
// nodes that each have delayed traffic reports.
package adviser
