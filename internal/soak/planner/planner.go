// Package planner draws the faults of a soak from a seed. It does no I/O.
package planner

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Options is what faults can strike.
type Options struct {
	Nodes     int
	Upstreams int
	Keys      int // that may be taken back
	// Length is the time of the soak; faults end some seconds before.
	Length time.Duration
}

// Fault is one of the types below.
type Fault interface{ fault() }

// Scope says whom a fault of the store strikes: one node, or all for -1.
type Scope int

// All strikes every node.
const All Scope = -1

// LinkTrouble is what happens to connections through a proxy.
type LinkTrouble string

// The troubles of links.
const (
	Delayed   LinkTrouble = "delayed"   // bytes arrive late
	Reset     LinkTrouble = "reset"     // open connections are reset, new ones work
	Forward   LinkTrouble = "forward"   // what the node sends vanishes
	Backward  LinkTrouble = "backward"  // what the node should get vanishes
	Silenced  LinkTrouble = "silenced"  // open connections carry nothing more, new ones work
	Unreached LinkTrouble = "unreached" // new connections are refused, open ones are reset
)

// The faults. For is how long each lasts.
type (
	// Stop ends a node by SIGTERM, and starts it again a while after its end.
	Stop struct {
		Node int
		Rest time.Duration
	}
	// StopAll does so to one node after another.
	StopAll struct{ Gap time.Duration }
	// Kill ends nodes by SIGKILL.
	Kill struct {
		Nodes []int
		Rest  time.Duration
	}
	// Freeze suspends a node.
	Freeze struct {
		Node int
		For  time.Duration
	}
	// StoreDown closes connections to the store.
	StoreDown struct {
		Scope Scope
		For   time.Duration
	}
	// StoreSlow delays the store's answers.
	StoreSlow struct {
		Delay, For time.Duration
	}
	// StoreLoses lets changes take effect without an answer.
	StoreLoses struct {
		Scope Scope
		For   time.Duration
	}
	// StoreRefuses answers with a status.
	StoreRefuses struct {
		Scope  Scope
		Status int
		For    time.Duration
	}
	// StoreForgets drops the store's history and lets all leases lapse.
	StoreForgets struct{ Leases bool }
	// Link troubles the connections to an upstream, or those of a node to the
	// store where Store is set.
	Link struct {
		Store   bool
		Index   int
		Trouble LinkTrouble
		For     time.Duration
	}
	// UpstreamCrash ends an upstream, which starts again on the same address.
	UpstreamCrash struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamErrs lets an upstream lose answers, break them off, fail or forge.
	UpstreamErrs struct {
		Upstream int
		For      time.Duration
	}
	// UpstreamLeaves drains an upstream; another one takes its address.
	UpstreamLeaves struct{ Upstream int }
	// KeyTaken takes a key back.
	KeyTaken struct{ Key int }
	// RouteMoved sends a route to another service.
	RouteMoved struct{}
	// WeightsNamed names new weights.
	WeightsNamed struct{}
)

func (Stop) fault()           {}
func (StopAll) fault()        {}
func (Kill) fault()           {}
func (Freeze) fault()         {}
func (StoreDown) fault()      {}
func (StoreSlow) fault()      {}
func (StoreLoses) fault()     {}
func (StoreRefuses) fault()   {}
func (StoreForgets) fault()   {}
func (Link) fault()           {}
func (UpstreamCrash) fault()  {}
func (UpstreamErrs) fault()   {}
func (UpstreamLeaves) fault() {}
func (KeyTaken) fault()       {}
func (RouteMoved) fault()     {}
func (WeightsNamed) fault()   {}

// Step is a fault at a moment of the soak.
type Step struct {
	At    time.Duration
	Fault Fault
}

const (
	// quietStart lets the fleet settle.
	quietStart = 2 * time.Second
	// quietEnd shows that the fleet recovers.
	quietEnd = 5 * time.Second
	// together is the chance that a fault comes at the heels of the last one.
	together = 0.35
	// most is the number of faults a second.
	most = 0.8
	// longest bounds a fault. Some last longer than the time to take a key back.
	longest = 7 * time.Second
)

// Planner draws faults. The same seed and scene give the same faults.
type Planner struct {
	rnd   *rand.Rand
	scene Options
}

// New returns a Planner.
func New(seed uint64, s Options) *Planner {
	return &Planner{rnd: rand.New(rand.NewPCG(seed, 0x50a4)), scene: s}
}

// Plan returns the faults in the order of their times.
func (p *Planner) Plan() []Step {
	var out []Step
	span := p.scene.Length - quietStart - quietEnd
	at := quietStart
	for range int(span.Seconds()*most) + 1 {
		if len(out) == 0 || p.rnd.Float64() >= together {
			at = quietStart + time.Duration(p.rnd.Int64N(int64(span)))
		} else {
			at += time.Duration(p.rnd.Int64N(int64(400 * time.Millisecond)))
		}
		out = append(out, Step{At: at, Fault: p.draw(quietStart + span - at)})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func (p *Planner) lasts(left time.Duration) time.Duration {
	most := max(500*time.Millisecond, min(longest, left))
	return 300*time.Millisecond + time.Duration(p.rnd.Int64N(int64(most)))
}

func (p *Planner) scope() Scope {
	if p.rnd.IntN(2) == 0 {
		return All
	}
	return Scope(p.rnd.IntN(p.scene.Nodes))
}

func (p *Planner) draw(left time.Duration) Fault {
	node, up, d := p.rnd.IntN(p.scene.Nodes), p.rnd.IntN(p.scene.Upstreams), p.lasts(left)
	rest := time.Duration(p.rnd.Int64N(int64(2 * time.Second)))
	switch p.rnd.IntN(17) {
	case 0:
		return Stop{Node: node, Rest: rest}
	case 1:
		return StopAll{Gap: time.Duration(p.rnd.Int64N(int64(time.Second)))}
	case 2:
		return Kill{Nodes: p.some(), Rest: rest}
	case 3, 4:
		return Freeze{Node: node, For: d}
	case 5:
		return StoreDown{Scope: p.scope(), For: d}
	case 6:
		return StoreSlow{Delay: time.Duration(100+p.rnd.IntN(600)) * time.Millisecond, For: d}
	case 7:
		return StoreLoses{Scope: p.scope(), For: d}
	case 8:
		return StoreRefuses{Scope: p.scope(), Status: []int{503, 429}[p.rnd.IntN(2)], For: d}
	case 9:
		return StoreForgets{Leases: p.rnd.IntN(2) == 0}
	case 10, 11:
		troubles := []LinkTrouble{Delayed, Reset, Forward, Backward, Silenced, Unreached}
		l := Link{Store: p.rnd.IntN(3) == 0, Trouble: troubles[p.rnd.IntN(len(troubles))], Index: up, For: d}
		if l.Store {
			l.Index = node
		}
		return l
	case 12:
		return UpstreamCrash{Upstream: up, For: d}
	case 13:
		return UpstreamErrs{Upstream: up, For: d}
	case 14:
		return UpstreamLeaves{Upstream: up}
	case 15:
		if p.rnd.IntN(2) == 0 {
			return RouteMoved{}
		}
		return KeyTaken{Key: p.rnd.IntN(p.scene.Keys)}
	}
	return WeightsNamed{}
}

// some returns one node or more.
func (p *Planner) some() []int {
	nodes := p.rnd.Perm(p.scene.Nodes)
	return nodes[:1+p.rnd.IntN(len(nodes))]
}
