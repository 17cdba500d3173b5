package config

import "time"

// Class is the priority class of a request, by how soon its response is needed.
type Class string

// The priority classes.
const (
	Interactive Class = "interactive" // a user waits for the response
	Standard    Class = "standard"
	Batch       Class = "batch" // may be delayed, but must be delivered
)

// Declaration is the configuration that operators submit as a whole. Nodes treat
// it as an immutable value.
type Declaration struct {
	// DataCentres lists the locations of VMs.
	DataCentres []DataCentre `json:"dataCentres"`
	// Models lists the models with their weight versions.
	Models []Model `json:"models"`
	// VMs lists the upstream VMs with their leave times.
	VMs []VM `json:"vms"`
	// Pools lists the groups of engines that serve the same model version.
	Pools []Pool `json:"pools"`
	// Services lists the services other than engines.
	Services []Service `json:"services,omitempty"`
	// Upstreams lists the engines and the back ends of plain services.
	Upstreams []Upstream `json:"upstreams"`
	// Workspaces lists the tenants that may send requests.
	Workspaces []Workspace `json:"workspaces"`
	// WeightStore limits concurrent loads of weights.
	WeightStore WeightStore `json:"weightStore,omitzero"`
	// PieceBytes is the size in bytes of the pieces in which prompts are cached
	// (default 8192, about two thousand tokens).
	PieceBytes int `json:"pieceBytes,omitempty"`
}

// DataCentre is a location of VMs.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Model is a model and its weight versions.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
}

// VM is a virtual machine that runs upstreams.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// LeavesAt is when the VM must be empty. It is absent for a VM that stays.
	LeavesAt *time.Time `json:"leavesAt,omitempty"`
	// DrainFrom is when the VM stops receiving new work (default: ten minutes
	// before LeavesAt).
	DrainFrom *time.Time `json:"drainFrom,omitempty"`
}

// Pool is a group of engines that serve the same model version.
type Pool struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Fallback is the pool that is used while this one has no eligible engine.
	Fallback string `json:"fallback,omitempty"`
	// Class is the default class of requests (default standard).
	Class Class `json:"class,omitempty"`
	// Deterministic reports whether the engines generate the same tokens for the
	// same request, so that a lost stream may be continued by running the
	// request again.
	Deterministic bool `json:"deterministic,omitempty"`
}

// Service is a plain service: one that is not served by engines.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route is a path of a plain service.
type Route struct {
	// Path must match completely, below /v1/services/{service}.
	Path  string `json:"path"`
	Class Class  `json:"class,omitempty"`
	// Repeatable reports whether requests may be retried. Non-idempotent
	// requests require an Idempotency-Key and run at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// KeepDays is how long the claim of a non-idempotent request is kept.
	// Idempotency-Keys must then be UUIDv7: requests whose key has an older
	// timestamp are rejected. 0 keeps claims forever.
	KeepDays int `json:"keepDays,omitempty"`
}

// Upstream is an engine of a pool or a back end of a plain service.
type Upstream struct {
	Name string `json:"name"`
	VM   string `json:"vm"`
	// URL is the base URL: scheme, IP address and port.
	URL string `json:"url"`
	// Pool is the pool of an engine. It is empty for a back end.
	Pool string `json:"pool,omitempty"`
	// Service is the service of a back end. It is empty for an engine.
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that it runs concurrently (default 8).
	Slots int `json:"slots,omitempty"`
	// ChecksFencing reports whether it rejects orders with an old fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Workspace is a tenant of the router.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes lists the SHA-256 hashes of the bearer keys in lower-case hex.
	KeyHashes []string `json:"keyHashes"`
	// Weight is its relative share of each class under load (default 1).
	Weight int `json:"weight,omitempty"`
	// TokensPerSecond limits the rate of prompt and response tokens. 0 means no
	// limit.
	TokensPerSecond int `json:"tokensPerSecond,omitempty"`
	// BurstTokens is the size of the token bucket of that limit (default: the
	// tokens of ten seconds).
	BurstTokens int `json:"burstTokens,omitempty"`
	// Models lists the models that it may use. If empty, it may use all.
	Models []string `json:"models,omitempty"`
	// RecomputeWeight is the cost of recomputing a cached piece relative to
	// queueing (default 1). Values above 1 favour cache reuse over the shortest
	// queue.
	RecomputeWeight float64 `json:"recomputeWeight,omitempty"`
}

// WeightStore limits concurrent loads of weights.
type WeightStore struct {
	// Slots is the number of loads that may run concurrently (default 2).
	Slots int `json:"slots,omitempty"`
	// LoadSeconds is the typical duration of a load (default 1).
	LoadSeconds float64 `json:"loadSeconds,omitempty"`
}
