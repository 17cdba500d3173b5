// Package peerlink sends messages between nodes over QUIC, with one stream for each
// exchange of a message and its reply. Nodes authenticate each other by TLS with a
// key derived from a shared secret; a peer with another secret is rejected.
package peerlink
