// Package traffic defines the values that entry nodes work with: the operators'
// configuration (routes, services, workspaces), the registered upstreams and nodes,
// and the prompt of a request. All values are read-only once built.
package traffic
