package config

import "time"

// Class orders requests by how soon their answer is needed.
type Class string

// The classes.
const (
	Interactive Class = "interactive" // somebody waits at the bench
	Standard    Class = "standard"
	Batch       Class = "batch" // may wait, must arrive
)

// Declaration is the whole configuration that operators submit. A node treats
// it as an immutable value.
type Declaration struct {
	// DataCentres lists where VMs stand.
	DataCentres []DataCentre `json:"dataCentres"`
	// Models lists the models with their weight versions.
	Models []Model `json:"models"`
	// VMs lists the upstream VMs and when they leave.
	VMs []VM `json:"vms"`
	// Pools lists the groups of engines that serve one model version.
	Pools []Pool `json:"pools"`
	// Services lists the plain services beside the engines.
	Services []Service `json:"services,omitempty"`
	// Upstreams lists engines and the back ends of plain services.
	Upstreams []Upstream `json:"upstreams"`
	// Workspaces lists the customers of the system.
	Workspaces []Workspace `json:"workspaces"`
	// WeightStore bounds the loads of weights.
	WeightStore WeightStore `json:"weightStore,omitzero"`
	// PieceBytes is the size of a cached piece of a prompt in bytes
	// (default 8192, about two thousand tokens).
	PieceBytes int `json:"pieceBytes,omitempty"`
}

// DataCentre is a place of VMs.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Model is a model and its weight versions.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
}

// VM is an upstream VM.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// LeavesAt is when the VM must be empty; absent for a VM that stays.
	LeavesAt *time.Time `json:"leavesAt,omitempty"`
	// DrainFrom is when the VM stops to receive new work (default: ten
	// minutes before LeavesAt).
	DrainFrom *time.Time `json:"drainFrom,omitempty"`
}

// Pool is a group of engines that serve one model version.
type Pool struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Fallback is the pool to use while this one has no eligible engine.
	Fallback string `json:"fallback,omitempty"`
	// Class is the class of requests that name none (default standard).
	Class Class `json:"class,omitempty"`
	// Deterministic says that an engine repeats an answer token by token, so
	// that a lost stream may be continued by running the request again.
	Deterministic bool `json:"deterministic,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name   string  `json:"name"`
	Routes []Route `json:"routes"`
}

// Route is one kind of call to a plain service.
type Route struct {
	// Path is matched whole, below /v1/services/{service}.
	Path  string `json:"path"`
	Class Class  `json:"class,omitempty"`
	// Repeatable says that a call may be sent again. Calls that may not
	// demand an Idempotency-Key and run at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// KeepDays is how long a claim of a call that may not be repeated is
	// remembered. It demands Idempotency-Keys of the form UUIDv7, whose time
	// tells which are older; those are refused. 0 remembers for ever.
	KeepDays int `json:"keepDays,omitempty"`
}

// Upstream is an engine of a pool or a back end of a service.
type Upstream struct {
	Name string `json:"name"`
	VM   string `json:"vm"`
	// URL is the base address: scheme, IP number and port.
	URL string `json:"url"`
	// Pool names the pool of an engine; empty for a service's back end.
	Pool string `json:"pool,omitempty"`
	// Service names the service of a back end; empty for an engine.
	Service string `json:"service,omitempty"`
	// Slots is how many requests it runs at once (default 8).
	Slots int `json:"slots,omitempty"`
	// ChecksFencing says that it refuses orders with an old fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes holds the SHA-256 of each bearer key in lower-case hex.
	KeyHashes []string `json:"keyHashes"`
	// Weight is its share of a class under load (default 1).
	Weight int `json:"weight,omitempty"`
	// TokensPerSecond bounds the prompt and answer tokens; 0 is no bound.
	TokensPerSecond int `json:"tokensPerSecond,omitempty"`
	// BurstTokens is the depth of that bucket (default ten seconds' worth).
	BurstTokens int `json:"burstTokens,omitempty"`
	// Models lists the models it may call; empty means all.
	Models []string `json:"models,omitempty"`
	// RecomputeWeight is the price of a recomputed piece relative to
	// queueing (default 1; above 1 favours reuse over the shortest queue).
	RecomputeWeight float64 `json:"recomputeWeight,omitempty"`
}

// WeightStore bounds the loads of weights.
type WeightStore struct {
	// Slots is how many loads may run at once (default 2).
	Slots int `json:"slots,omitempty"`
	// LoadSeconds is the usual time of one load (default 1).
	LoadSeconds float64 `json:"loadSeconds,omitempty"`
}
