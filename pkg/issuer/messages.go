package issuer

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Goal is the state that an engine should reach.
type Goal struct {
	Engine  string
	Model   string
	Version string
	// DrainFrom is when the engine stops accepting new work; zero means never.
	DrainFrom time.Time
}

// Intent is an order that may be in flight. It is written to the platform before
// the order is sent.
type Intent struct {
	Engine string     `msgpack:"e"`
	Order  wire.Order `msgpack:"o"`
	// Until is when the order has certainly ended, whether it arrived or not.
	Until time.Time `msgpack:"u"`
}

// Page holds the intents of all nodes.
type Page struct {
	Intents []Intent `msgpack:"i"`
}

// Event is an input of the state machine.
type Event interface{ event() }

// Goals replaces all goals and the limit on concurrent loads.
type Goals struct {
	Goals    []Goal
	MaxLoads int
}

// Observed is the state that an engine reports.
type Observed struct {
	Engine, Model, Version string
	Leaving                bool
}

// Elected reports that this node holds the lease until Until. Token is the
// fencing token of the lease.
type Elected struct {
	Token uint64
	Until time.Time
}

// Renewed reports that the lease was extended until Until.
type Renewed struct{ Until time.Time }

// LeadershipLost reports that the lease was lost or could not be acquired.
type LeadershipLost struct{}

// PageRead is the result of ReadPage.
type PageRead struct {
	Page    Page
	Version uint64
	Failed  bool
}

// PageWritten is the result of WritePage. Failed covers conflicts as well as lost
// responses: in both cases the page is read again.
type PageWritten struct {
	Version uint64
	Failed  bool
}

// Tick advances the time.
type Tick struct{}

func (Goals) event()          {}
func (Observed) event()       {}
func (Elected) event()        {}
func (Renewed) event()        {}
func (LeadershipLost) event() {}
func (PageRead) event()       {}
func (PageWritten) event()    {}
func (Tick) event()           {}

// Action is an output of the state machine.
type Action interface{ action() }

// Campaign requests the lease.
type Campaign struct{}

// Renew requests an extension of the lease.
type Renew struct{}

// ReadPage requests the page of intents.
type ReadPage struct{}

// WritePage requests to write the page if it still has Version.
type WritePage struct {
	Page    Page
	Version uint64
}

// Send requests to send an order to an engine. It must be abandoned at NotAfter.
type Send struct {
	Engine   string
	Order    wire.Order
	NotAfter time.Time
}

func (Campaign) action()  {}
func (Renew) action()     {}
func (ReadPage) action()  {}
func (WritePage) action() {}
func (Send) action()      {}
