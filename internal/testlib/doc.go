// Package testlib starts the processes of a small deployment on loopback, for
// the demonstration and for tests.
package testlib
