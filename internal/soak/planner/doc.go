// Package planner generates the random schedule of faults of a soak test from a
// seed. It does no I/O.
//
// The log shows faults by their type and field names, and plots by their type
// names without the prefix "planner.".
package planner
