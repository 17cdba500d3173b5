// Package peerlink carries messages between nodes over QUIC, one stream for
// each exchange. A node accepts only peers that know the shared secret.
package peerlink
