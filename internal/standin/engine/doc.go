// Package engine is a stand-in for a model engine. It has streaming completions
// with resumable offsets, a bounded prefix cache, load reports, orders and faults
// that can be switched on. A completion is a function of the prompt, so that a
// test can compare it with Completion.
package engine
