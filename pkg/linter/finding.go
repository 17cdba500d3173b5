package linter

// Code identifies a kind of finding. Programs may rely on codes: they don't change.
type Code string

// The codes of findings. Those of the first group come from the decoders of configurations, and
// from the comparison with an earlier one; Check returns the others.
const (
	// FieldInvalid is a field of the wrong type or with a value out of its range.
	FieldInvalid Code = "fieldInvalid"
	// RouteInvalid is a route that can't be decoded and is left out.
	RouteInvalid Code = "routeInvalid"
	// VersionInvalid is a version that isn't a whole number from 1.
	VersionInvalid Code = "versionInvalid"
	// VersionNotIncreased is a version that isn't above the one of the configuration in force.
	VersionNotIncreased Code = "versionNotIncreased"
	// DeclarationInvalid is a problem that package config reports.
	DeclarationInvalid Code = "declarationInvalid"

	RouteUnreachable      Code = "routeUnreachable"
	RoutePrefix           Code = "routePrefix"
	RouteHost             Code = "routeHost"
	RouteTargets          Code = "routeTargets"
	TargetUnknown         Code = "targetUnknown"
	ServiceUnused         Code = "serviceUnused"
	NameDuplicate         Code = "nameDuplicate"
	KeyDuplicate          Code = "keyDuplicate"
	KeyEmpty              Code = "keyEmpty"
	WorkspaceWithoutRoute Code = "workspaceWithoutRoute"
	TimeoutBelowObjective Code = "timeoutBelowObjective"
	AttemptsOfUnsafe      Code = "attemptsOfUnsafe"
	BurstTooSmall         Code = "burstTooSmall"
	RateWithoutBurst      Code = "rateWithoutBurst"
	LimitZero             Code = "limitZero"
	IdleBelowHeader       Code = "idleBelowHeader"
)

// Severity tells how bad a finding is.
type Severity string

// The severities.
const (
	// Error is a part of the configuration that has no effect, or another one than written.
	Error Severity = "error"
	// Warning is a part that has its effect and probably isn't meant that way.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// Path is the JSON path of the place in the file, and Line its line. Both are set by
	// whoever has decoded the file. Path is empty for the document as a whole.
	Path string `json:"path"`
	Line int    `json:"line"`
	Text string `json:"text"`
	// Ref is the place in the catalog.
	Ref Ref `json:"-"`
}

// Section is a part of a catalog.
type Section uint8

// The sections.
const (
	Routes Section = iota
	Services
	Workspaces
	Limits
)

// Field is a field of an element of a section.
type Field uint8

// The fields that findings refer to.
const (
	NoField Field = iota
	Name
	Host
	Prefix
	Targets
	MaxAttempts
	Timeout
	Keys
	Rate
	Burst
	HeaderBytes
	BodyBytes
	IdleTimeout
)

// None is the index of a Ref that refers to no single element.
const None = -1

// Ref is a place in a catalog.
type Ref struct {
	Section Section
	// Index is the element of the section, None for the section as a whole.
	Index int
	Field Field
	// Element is the element of a field that is a list, None for the field as a whole.
	Element int
}
