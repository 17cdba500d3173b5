// Package differ compares two configurations and groups the differences by what changes for
// callers.
package differ
