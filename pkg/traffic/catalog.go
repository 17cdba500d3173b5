package traffic

import "time"

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each attempt of their caller.
	Unsafe
	// Streaming requests are answered by a series of events.
	Streaming
)

// String returns the kind as it stands in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Target is one of the services that a route leads to.
type Target struct {
	Service string
	// Weight is the target's part of the traffic among the route's targets.
	Weight int
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most; of a
	// stream, the time to its first event.
	LatencyObjective time.Duration
	// PauseObjective is the longest pause between two events of a stream.
	PauseObjective time.Duration
	// Priority is the rank among routes, 0 for the most urgent.
	Priority int
	// Public routes take requests without a key.
	Public bool
	// CacheAffinity routes carry prompts with parts that engines keep in their caches.
	CacheAffinity bool
	// Resumable streams may go on at another engine after a given event.
	Resumable bool
}

// Repeatable reports whether a request may be run again from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// EngineSpec is what operators declare of the engines of a service.
type EngineSpec struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// MemoryTokens is the room for running requests and cached parts.
	MemoryTokens int
	// TokenBytes is the size of one token's memory.
	TokenBytes int
	// MaxEventPolls bounds the calls for cache events that an engine holds.
	MaxEventPolls int
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// HealthPath answers whether an upstream considers itself healthy.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineSpec
	// CacheAddress is set for a service that only keeps cached parts.
	CacheAddress string
	// CacheTokens is the room of such a service.
	CacheTokens int
}

// Workspace is a customer with keys of its own.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of the route, if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached part with others.
	Isolated bool
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the operators' configuration.
type Catalog struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
