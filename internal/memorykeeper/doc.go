// Package memorykeeper bounds the memory that requests and responses take in a process,
// all of them together.
package memorykeeper
