// Package connector is an HTTP/1.1 client with a connection pool for each
// upstream. A connection carries one exchange at a time. The package never sends
// a request twice, and it reports whether any byte of a failed request was sent.
package connector
