package traffic

import "time"

// Kind classifies the requests of a route by whether they may be retried.
type Kind uint8

// The kinds of route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests are not idempotent: they run at most once for each attempt of
	// their caller.
	Unsafe
	// Streaming requests have a stream of events as their response.
	Streaming
)

// String returns the kind as it appears in logs.
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

// Target is one of the services that a route sends requests to.
type Target struct {
	Service string
	// Weight is the target's share of the traffic, relative to the route's other
	// targets.
	Weight int
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Timeout is the longest time that a request may take. Its caller can ask for a
	// shorter one.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response has its full value. For
	// a stream, it applies to the time to the first event.
	LatencyObjective time.Duration
	// PauseObjective is the objective for the longest pause between two events of a
	// stream.
	PauseObjective time.Duration
	// Priority orders the routes, 0 for the most urgent.
	Priority int
	// Public routes accept requests without a key.
	Public bool
	// CacheAffinity routes carry prompts whose parts engines keep in their prefix
	// caches.
	CacheAffinity bool
	// Resumable streams can continue on another engine after a given event.
	Resumable bool
}

// Repeatable reports whether a request may be retried from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// EngineSpec is the operators' declaration of the engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is the memory for running requests and cached parts, in tokens.
	MemoryTokens int
	// TokenBytes is the memory that one token takes.
	TokenBytes int
	// MaxEventPolls is the largest number of polls for cache events that an engine
	// keeps open at once.
	MaxEventPolls int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineSpec
	// CacheAddress is set for a cache store: a service that only stores cached parts
	// for the engines.
	CacheAddress string
	// CacheTokens is the capacity of a cache store, in tokens.
	CacheTokens int
}

// Workspace is a tenant with its own API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated workspaces share no cached parts with others.
	Isolated bool
	Limit    RateLimit
}

// RateLimit bounds what all nodes together run for a workspace.
type RateLimit struct {
	// Rate is the cost per second and Burst the cost that may exceed it at once. A Rate of 0
	// means that there is no limit.
	Rate, Burst float64
	// Tokens is true if a request costs its tokens, and false if each request costs 1.
	Tokens bool
	// PlainTokens is the cost of a request that doesn't tell its tokens.
	PlainTokens int
}

// Cost returns the cost of a request with a number of tokens, 0 if it tells none.
func (l *RateLimit) Cost(tokens int) float64 {
	switch {
	case !l.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(l.PlainTokens)
}

// Limits bounds the size and time of callers' requests.
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
