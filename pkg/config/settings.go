package config

import "time"

// Settings configures one node. They are read once at startup.
type Settings struct {
	// Name is the node's unique name.
	Name string `json:"name"`
	// DataCentre is the data centre of the node.
	DataCentre string `json:"dataCentre"`
	// Listen is the IP address and port for callers and operators.
	Listen string `json:"listen"`
	// Advertise is the address that is published to callers (default: Listen).
	Advertise string `json:"advertise,omitempty"`
	// PeerListen is the IP address and UDP port for other nodes.
	PeerListen string `json:"peerListen"`
	// Peers lists the peer addresses of some other nodes.
	Peers []string `json:"peers,omitempty"`
	// PeerSecret is shared by all nodes, which reject peers without it. It must
	// have at least 16 characters.
	PeerSecret string `json:"peerSecret"`
	// Platform is the base URL of the platform's key-value service.
	Platform string `json:"platform"`
	// OperatorKeyHash is the SHA-256 hash of the operators' bearer key in hex.
	// If empty, /v1/status requires no key on the listening address.
	OperatorKeyHash string `json:"operatorKeyHash,omitempty"`
	// Limits limits the requests of callers.
	Limits Limits `json:"limits,omitzero"`
	// LogLevel is one of debug, info, warning, error (default info).
	LogLevel string `json:"logLevel,omitempty"`
}

// Limits holds the limits on callers and the timeouts of requests. Fields that are
// zero take the defaults.
type Limits struct {
	// BodyBytes limits the size of a request body (default 4 MiB).
	BodyBytes int64 `json:"bodyBytes,omitempty"`
	// HeaderBytes limits the size of the request headers (default 32 KiB).
	HeaderBytes int `json:"headerBytes,omitempty"`
	// HeaderSeconds limits the time to read the headers (default 5).
	HeaderSeconds float64 `json:"headerSeconds,omitempty"`
	// RequestSeconds is the latest deadline that a caller may set, in seconds
	// after the arrival of the request, and the deadline of a request whose
	// caller sets none (default 300).
	RequestSeconds float64 `json:"requestSeconds,omitempty"`
	// FirstByteSeconds is how long to wait for the first byte of an engine
	// before the attempt is resumed on a new connection (default 3).
	FirstByteSeconds float64 `json:"firstByteSeconds,omitempty"`
	// ChunkSeconds limits the time between two chunks of a stream (default 2).
	ChunkSeconds float64 `json:"chunkSeconds,omitempty"`
	// WriteSeconds limits the duration of a write to a slow caller (default 20).
	WriteSeconds float64 `json:"writeSeconds,omitempty"`
	// MemoryMB is the memory of the process (default 512). Requests and responses may take
	// a part of it.
	MemoryMB float64 `json:"memoryMB,omitempty"`
	// Connections limits the open connections of callers (default 8192).
	Connections int `json:"connections,omitempty"`
	// QueueLength limits the requests that are queued on this node
	// (default 4096).
	QueueLength int `json:"queueLength,omitempty"`
	// EntrySeconds is how long callers may cache a response of /v1/entries
	// (default 5). A leaving node accepts requests for that long.
	EntrySeconds float64 `json:"entrySeconds,omitempty"`
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
