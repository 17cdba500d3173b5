package planner

import "time"

// Fault is one of the fault types below.
type Fault interface{ fault() }

// Scope is the index of the node that a store fault affects, or All.
type Scope int

// All affects every node.
const All Scope = -1

// LinkTrouble is a link fault: what a proxy does to the connections through it.
type LinkTrouble string

// The link faults.
const (
	Delayed   LinkTrouble = "delayed"   // bytes are delayed
	Reset     LinkTrouble = "reset"     // open connections are reset, new ones work
	Forward   LinkTrouble = "forward"   // bytes from the node are dropped
	Backward  LinkTrouble = "backward"  // bytes to the node are dropped
	Silenced  LinkTrouble = "silenced"  // open connections drop all bytes, new ones work
	Unreached LinkTrouble = "unreached" // new connections are refused, open ones are reset
)

// The faults. For is the duration of a fault, Rest the time between the exit of a
// process and its restart.
type (
	// Stop shuts a node down by SIGTERM and restarts it.
	Stop struct {
		Node int
		Rest time.Duration
	}
	// StopAll shuts down and restarts one node after the other, with a pause of Gap.
	StopAll struct{ Gap time.Duration }
	// Kill kills nodes by SIGKILL and restarts them.
	Kill struct {
		Nodes []int
		Rest  time.Duration
	}
	// Freeze suspends a node's process.
	Freeze struct {
		Node int
		For  time.Duration
	}
	// StoreDown makes the store close connections without a response.
	StoreDown struct {
		Scope Scope
		For   time.Duration
	}
	// StoreSlow delays the store's responses to all nodes.
	StoreSlow struct {
		Delay, For time.Duration
	}
	// StoreLoses makes the store apply changes and lose the responses.
	StoreLoses struct {
		Scope Scope
		For   time.Duration
	}
	// StoreLate makes the store lose a share of the responses to each node, drawn from
	// Seed, and execute these writes late.
	StoreLate struct {
		Share     float64
		Seed      uint64
		Late, For time.Duration
	}
	// StoreRefuses makes the store reject requests with a status.
	StoreRefuses struct {
		Scope  Scope
		Status int
		For    time.Duration
	}
	// StoreForgets drops the store's history of changes and, where Leases is set,
	// lets all leases expire.
	StoreForgets struct{ Leases bool }
	// Link affects the connections to an upstream or, where Store is set, those of
	// a node to the store.
	Link struct {
		Store   bool
		Index   int
		Trouble LinkTrouble
		For     time.Duration
	}
	// UpstreamCrash crashes an upstream, which restarts at the same address.
	UpstreamCrash struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamErrs makes an upstream lose responses, break them off, fail requests
	// and respond without its stamp.
	UpstreamErrs struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamRepeats makes an upstream send responses once more, late, on connections
	// that are in use again.
	UpstreamRepeats struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamStalls makes streams of an upstream stall and send comments.
	UpstreamStalls struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamLeaves drains an upstream, which another one replaces at its address.
	UpstreamLeaves struct{ Upstream int }
	// UpstreamSaysLeaving makes the responses of an upstream say that it is leaving, and drains
	// it later.
	UpstreamSaysLeaving struct {
		Upstream int
		Notice   time.Duration
	}
	// UpstreamTurnsAway makes an upstream reject all requests and ask for none for a time.
	UpstreamTurnsAway struct {
		Upstream   int
		Pause, For time.Duration
	}
	// StoreRestored makes the store come back from a copy that is Age old, after it was Away. What
	// operators and upstreams wrote since is written again after Silence, and then a key is revoked.
	StoreRestored struct {
		Age, Away, Silence time.Duration
		Key                int
	}
	// CallersLeave freezes a node, to which callers send requests meanwhile, and leave.
	CallersLeave struct {
		Node, Callers int
		For           time.Duration
	}
	// UpstreamNamesRate makes the responses of an upstream say how many requests per second it
	// takes from all nodes.
	UpstreamNamesRate struct {
		Upstream int
		Rate     float64
		For      time.Duration
	}
	// UpstreamPauses holds all bytes to and from an upstream back.
	UpstreamPauses struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamUnframed makes an upstream send responses that end with their connection
	// and break a share of them off.
	UpstreamUnframed struct {
		Upstream int
		Broken   float64
		For      time.Duration
	}
	// UpstreamCopiesRefusals makes an upstream reject requests and send the rejections
	// once more, late.
	UpstreamCopiesRefusals struct {
		Upstream int
		For      time.Duration
	}
	// ResumptionsFail makes all upstreams break off streams and respond to resumed ones
	// with errors.
	ResumptionsFail struct{ For time.Duration }
	// OddRegistration leaves a registration of an engine with an odd value.
	OddRegistration struct{ Shape int }
	// Poison sends requests that crash each upstream that starts to respond to them:
	// different ones with a part of the prompt in common if Part is set, otherwise one
	// request again and again.
	Poison struct {
		Part  bool
		Route int
		For   time.Duration
	}
	// LonePoison sends one request that crashes the upstreams of a plain service again and
	// again, in place of the sound requests to such services.
	LonePoison struct {
		Route int
		For   time.Duration
	}
	// WallChanged isolates a workspace, or ends its isolation.
	WallChanged struct{ Workspace int }
	// WallRemoved isolates a workspace and removes it, with its keys: once that is in force, or,
	// where After is set, that much later. Nodes that are killed restart between; where Unseen is set,
	// no node can read the store between.
	WallRemoved struct {
		Workspace int
		After     time.Duration
		Killed    []int
		Unseen    bool
	}
	// Reload sends SIGHUP to a node.
	Reload struct{ Node int }
	// LimitsChanged replaces what callers may send, and how long they may stay idle.
	LimitsChanged struct {
		BodyBytes   int64
		IdleTimeout time.Duration
	}
	// TimeLimitsChanged multiplies the time limits of all routes.
	TimeLimitsChanged struct{ Factor float64 }
	// WorkspaceChanged gives a workspace another priority, and a second key or none.
	WorkspaceChanged struct {
		Workspace, Priority int
		SecondKey           bool
	}
	// RoutesAdded sets the number of routes that no caller uses.
	RoutesAdded struct{ Routes int }
	// LargeBodies makes a share of the requests with a body send a large one in pieces.
	LargeBodies struct {
		Share float64
		For   time.Duration
	}
	// Surge sends PerSecond requests of a workspace whose limit is Rate and Burst, in requests,
	// to random nodes.
	Surge struct {
		Rate, Burst float64
		PerSecond   int
		For         time.Duration
	}
	// KeyTaken revokes a key.
	KeyTaken struct{ Key int }
	// RouteMoved directs the moving route to the other service.
	RouteMoved struct{}
	// WeightsNamed announces a new version of the weights.
	WeightsNamed struct{}
)

func (Stop) fault()                   {}
func (StopAll) fault()                {}
func (Kill) fault()                   {}
func (Freeze) fault()                 {}
func (StoreDown) fault()              {}
func (StoreSlow) fault()              {}
func (StoreLoses) fault()             {}
func (StoreLate) fault()              {}
func (StoreRefuses) fault()           {}
func (StoreForgets) fault()           {}
func (Link) fault()                   {}
func (UpstreamCrash) fault()          {}
func (UpstreamErrs) fault()           {}
func (UpstreamRepeats) fault()        {}
func (UpstreamStalls) fault()         {}
func (UpstreamLeaves) fault()         {}
func (UpstreamSaysLeaving) fault()    {}
func (UpstreamNamesRate) fault()      {}
func (CallersLeave) fault()           {}
func (StoreRestored) fault()          {}
func (UpstreamTurnsAway) fault()      {}
func (UpstreamPauses) fault()         {}
func (UpstreamUnframed) fault()       {}
func (UpstreamCopiesRefusals) fault() {}
func (ResumptionsFail) fault()        {}
func (OddRegistration) fault()        {}
func (Poison) fault()                 {}
func (LonePoison) fault()             {}
func (WallChanged) fault()            {}
func (WallRemoved) fault()            {}
func (Reload) fault()                 {}
func (LimitsChanged) fault()          {}
func (TimeLimitsChanged) fault()      {}
func (WorkspaceChanged) fault()       {}
func (RoutesAdded) fault()            {}
func (LargeBodies) fault()            {}
func (Surge) fault()                  {}
func (KeyTaken) fault()               {}
func (RouteMoved) fault()             {}
func (WeightsNamed) fault()           {}
