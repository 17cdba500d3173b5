// Package upstreamer is the HTTP client for upstreams. It sends an attempt of a
// request and reports whether the upstream may have run it. It also fetches the
// load reports of engines and sends orders to them.
package upstreamer
