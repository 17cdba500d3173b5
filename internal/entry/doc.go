// Package entry assembles the services of an entry node, which serves callers
// on the users' platform.
package entry
