// Package engine is the stand-in of a model engine: streaming completions with
// offsets, a bounded prefix cache, load reports, orders and switchable faults.
// Its answers are a function of the prompt, so that a test can compare them.
package engine
