// Package limiter enforces the rate limits of workspaces over all nodes. Every node admits
// requests at random with a fraction that follows from a fleet-wide token bucket for each
// limited workspace. The nodes that receive the reports of all nodes keep the buckets and tell
// the others which workspaces are in shortage.
package limiter
