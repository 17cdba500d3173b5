// Package linter finds faults and contradictions in a configuration: routes that can never
// match, names that refer to nothing, API keys that are given twice, and limits that
// contradict each other.
package linter
