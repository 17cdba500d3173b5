package config

// EntrySettings configures an entry node on the users' platform. The settings are
// read at startup. The platform generates the file from its own fields with a
// template, and may scale any number, so that all of them may be fractions.
type EntrySettings struct {
	// Name is the node's unique name.
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region,omitempty"`
	// CallerListen is the IP address and port for callers, ReadyListen the one
	// for the platform's health checks, and DirectoryListen the one for callers
	// that request the list of nodes to use.
	CallerListen    string `json:"callerListen"`
	ReadyListen     string `json:"readyListen"`
	DirectoryListen string `json:"directoryListen"`
	// MetricsListen is the IP address and port that serve Prometheus metrics
	// under /metrics. If empty, metrics are not served.
	MetricsListen string `json:"metricsListen,omitempty"`
	// PeerListen is the IP address and UDP port for other nodes.
	PeerListen string `json:"peerListen"`
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// MemoryMB is the memory limit of the process.
	MemoryMB float64 `json:"memoryMB"`
	// ProcessorShare is the CPU limit of the process in cores (default 1).
	ProcessorShare float64 `json:"processorShare,omitempty"`
	// RevokeMS is the time in milliseconds after which a revoked key must no
	// longer be accepted (default 5000).
	RevokeMS float64 `json:"revokeMS,omitempty"`
	// RetryRatio, RetryWindowSeconds and RetryAllowance define the retry budget
	// of the fleet for each service (default 0.2, 10 and 0).
	RetryRatio         float64 `json:"retryRatio,omitempty"`
	RetryWindowSeconds float64 `json:"retryWindowSeconds,omitempty"`
	RetryAllowance     float64 `json:"retryAllowance,omitempty"`
	// HedgeShare is the largest number of hedged attempts as a share of the requests
	// of a service, from 0 to 0.2 (default 0: none). A hedged attempt is a second
	// attempt at another upstream of a request whose first one is slow. Each also
	// spends the retry budget.
	HedgeShare float64 `json:"hedgeShare,omitempty"`
	// GraceSeconds is the grace period from SIGTERM to the end of the process
	// (default 8).
	GraceSeconds float64 `json:"graceSeconds,omitempty"`
	// OrderGapMS is the minimum time in milliseconds between the last order of
	// one leader and the first order of the next (default 3000).
	OrderGapMS float64 `json:"orderGapMS,omitempty"`
	// WeightsMS is the time in milliseconds after the announcement of new weights
	// during which requests may still start on older ones (default 12000).
	WeightsMS float64 `json:"weightsMS,omitempty"`
	// EntrySeconds is how long callers may cache the list of nodes to use
	// (default 5).
	EntrySeconds float64 `json:"entrySeconds,omitempty"`
	// LearnEngineSpeeds makes the placement of prompts learn how fast each engine is, in place of
	// taking all engines of a pool as equally fast (default false).
	LearnEngineSpeeds bool `json:"learnEngineSpeeds,omitempty"`
	// LogLevel is one of debug, info, warning, error (default info).
	LogLevel string `json:"logLevel,omitempty"`
}

// maxHedgeShare is the largest HedgeShare. It is the default of RetryRatio: hedged
// attempts also spend the retry budget.
const maxHedgeShare = 0.2

// The defaults of EntrySettings.
const (
	defaultRevokeMS           = 5000.0
	defaultRetryRatio         = 0.2
	defaultRetryWindowSeconds = 10.0
	defaultGraceSeconds       = 8.0
	defaultOrderGapMS         = 3000.0
	defaultWeightsMS          = 12000.0
	defaultEntryCacheSeconds  = 5.0
)

// WithDefaults returns a copy of s with the defaults for absent fields.
func (s EntrySettings) WithDefaults() EntrySettings {
	setDefault(&s.ProcessorShare, 1)
	setDefault(&s.RevokeMS, defaultRevokeMS)
	setDefault(&s.RetryRatio, defaultRetryRatio)
	setDefault(&s.RetryWindowSeconds, defaultRetryWindowSeconds)
	setDefault(&s.GraceSeconds, defaultGraceSeconds)
	setDefault(&s.OrderGapMS, defaultOrderGapMS)
	setDefault(&s.WeightsMS, defaultWeightsMS)
	setDefault(&s.EntrySeconds, defaultEntryCacheSeconds)
	setDefault(&s.LogLevel, "info")
	return s
}

// Check validates s and returns all problems, or none if s is valid.
func (s EntrySettings) Check() []Problem {
	c := &checker{}
	for _, f := range []struct{ field, value, remedy string }{
		{"name", s.Name, "give the node a unique name"},
		{"dataCentre", s.DataCentre, "set the data centre of the node"},
	} {
		if f.value == "" {
			c.add(f.remedy, f.field, "is empty")
		}
	}
	c.checkAddress("callerListen", s.CallerListen)
	c.checkAddress("readyListen", s.ReadyListen)
	c.checkAddress("directoryListen", s.DirectoryListen)
	c.checkAddress("peerListen", s.PeerListen)
	if s.MetricsListen != "" {
		c.checkAddress("metricsListen", s.MetricsListen)
	}
	c.checkAddress("store", s.Store)
	if s.MemoryMB <= 0 {
		c.add("set the memory limit of the process in MB", "memoryMB", "is %v", s.MemoryMB)
	}
	if !(s.HedgeShare >= 0 && s.HedgeShare <= maxHedgeShare) {
		c.add("use 0 for no hedged attempts, or a share of the requests up to 0.2", "hedgeShare", "is %v", s.HedgeShare)
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"processorShare", s.ProcessorShare},
		{"revokeMS", s.RevokeMS},
		{"retryRatio", s.RetryRatio},
		{"retryWindowSeconds", s.RetryWindowSeconds},
		{"retryAllowance", s.RetryAllowance},
		{"graceSeconds", s.GraceSeconds},
		{"orderGapMS", s.OrderGapMS},
		{"weightsMS", s.WeightsMS},
		{"entrySeconds", s.EntrySeconds},
	} {
		requireNonNegative(c, f.field, f.value)
	}
	return c.problems
}
