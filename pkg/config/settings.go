package config

import "time"

// Settings configures one node. They are read once at its start.
type Settings struct {
	// Name is the node's unique name.
	Name string `json:"name"`
	// DataCentre is where the node stands.
	DataCentre string `json:"dataCentre"`
	// Listen is the IP number and port for callers and operators.
	Listen string `json:"listen"`
	// Advertise is the address that callers are told (default: Listen).
	Advertise string `json:"advertise,omitempty"`
	// PeerListen is the IP number and UDP port for other nodes.
	PeerListen string `json:"peerListen"`
	// Peers lists the peer addresses of some other nodes.
	Peers []string `json:"peers,omitempty"`
	// PeerSecret is shared by all nodes; they refuse peers without it. At
	// least 16 characters.
	PeerSecret string `json:"peerSecret"`
	// Platform is the base URL of the platform's key-value service.
	Platform string `json:"platform"`
	// OperatorKeyHash is the SHA-256 of the operators' bearer key in hex;
	// empty leaves /v1/status open on the listening address.
	OperatorKeyHash string `json:"operatorKeyHash,omitempty"`
	// Limits bounds what callers may send.
	Limits Limits `json:"limits,omitzero"`
	// LogLevel is one of debug, info, warning, error (default info).
	LogLevel string `json:"logLevel,omitempty"`
}

// Limits bounds what callers may send. Zero fields take the defaults.
type Limits struct {
	// BodyBytes bounds a request body (default 4 MiB).
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes bounds the request headers (default 32 KiB).
	HeaderBytes int `json:"headerBytes,omitempty"`
	// HeaderSeconds bounds the reading of headers (default 5).
	HeaderSeconds float64 `json:"headerSeconds,omitempty"`
	// RequestSeconds is the deadline of a request whose caller names none
	// (default 300).
	RequestSeconds float64 `json:"requestSeconds,omitempty"`
	// FirstByteSeconds is how long an engine may stay silent before its
	// first byte until the attempt is resumed on a new connection (default 3).
	FirstByteSeconds float64 `json:"firstByteSeconds,omitempty"`
	// ChunkSeconds is how long a stream may stay silent (default 2).
	ChunkSeconds float64 `json:"chunkSeconds,omitempty"`
	// WriteSeconds bounds one write to a slow caller (default 20).
	WriteSeconds float64 `json:"writeSeconds,omitempty"`
	// Connections bounds the open connections of callers (default 8192).
	Connections int `json:"connections,omitempty"`
	// QueueLength bounds the requests that wait on this node (default 4096).
	QueueLength int `json:"queueLength,omitempty"`
	// EntrySeconds is how long callers may keep an answer of /v1/entries
	// (default 5); a leaving node waits that long before it stops accepting.
	EntrySeconds float64 `json:"entrySeconds,omitempty"`
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
