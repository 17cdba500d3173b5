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
	// DrainFrom is when the engine stops to take new work; zero for never.
	DrainFrom time.Time
}

// Intent is an order that may be on its way. It is written to the platform
// before the order is sent.
type Intent struct {
	Engine string     `msgpack:"e"`
	Order  wire.Order `msgpack:"o"`
	// Until is when the order has certainly ended.
	Until time.Time `msgpack:"u"`
}

// Page holds the intents of all issuers.
type Page struct {
	Intents []Intent `msgpack:"i"`
}

// Event is an input of the machine.
type Event interface{ event() }

// Goals replaces the goals and the limit of loads at once.
type Goals struct {
	Goals    []Goal
	MaxLoads int
}

// Observed is what an engine says of itself.
type Observed struct {
	Engine, Model, Version string
	Leaving                bool
}

// Elected says that this issuer holds the lease until Until; Token is the
// fencing token that came with it.
type Elected struct {
	Token uint64
	Until time.Time
}

// Renewed says that the lease was extended.
type Renewed struct{ Until time.Time }

// LeadershipLost says that the lease is lost or could not be had.
type LeadershipLost struct{}

// PageRead is the result of ReadPage.
type PageRead struct {
	Page    Page
	Version uint64
	Failed  bool
}

// PageWritten is the result of WritePage. Failed covers a conflict and a lost
// reply alike: the page is read again.
type PageWritten struct {
	Version uint64
	Failed  bool
}

// Ticked lets time pass.
type Ticked struct{}

func (Goals) event()          {}
func (Observed) event()       {}
func (Elected) event()        {}
func (Renewed) event()        {}
func (LeadershipLost) event() {}
func (PageRead) event()       {}
func (PageWritten) event()    {}
func (Ticked) event()         {}

// Action is an output of the machine.
type Action interface{ action() }

// Campaign asks for the lease.
type Campaign struct{}

// Renew asks to extend the lease.
type Renew struct{}

// ReadPage asks for the intents.
type ReadPage struct{}

// WritePage asks to write the intents if they still have Version.
type WritePage struct {
	Page    Page
	Version uint64
}

// Send asks to send an order to an engine, and to give up at NotAfter.
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
