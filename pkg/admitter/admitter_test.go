package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

var start = time.Unix(1_800_000_000, 0)

// harness drives an Admitter with a pool of one slot.
type harness struct {
	admitter *admitter.Admitter
	now      time.Time
	requests map[uint64]admitter.Request
	admitted []admitter.Request
	rejected map[failure.Kind]int
	ticket   uint64
}

func newHarness(limit int) *harness {
	return &harness{admitter: admitter.New(limit), now: start, requests: map[uint64]admitter.Request{}, rejected: map[failure.Kind]int{}}
}

func (h *harness) handle(e admitter.Event) {
	for _, a := range append([]admitter.Action(nil), h.admitter.Handle(h.now, e)...) {
		switch a := a.(type) {
		case admitter.Admit:
			h.admitted = append(h.admitted, h.requests[a.Ticket])
		case admitter.Reject:
			h.rejected[a.Kind]++
		}
	}
}

func (h *harness) arrive(r admitter.Request) {
	h.ticket++
	r.Ticket, r.Pool = h.ticket, "p"
	if r.Deadline.IsZero() {
		r.Deadline = h.now.Add(time.Hour)
	}
	h.requests[r.Ticket] = r
	h.handle(admitter.Arrived{Request: r})
}

// freeSlots frees the slot n times.
func (h *harness) freeSlots(n int) {
	for range n {
		h.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
		h.handle(admitter.Ended{Pool: "p"})
	}
}

func (h *harness) count(matches func(admitter.Request) bool) int {
	n := 0
	for _, r := range h.admitted {
		if matches(r) {
			n++
		}
	}
	return n
}

func TestWorkspacesShareByWeight(t *testing.T) {
	h := newHarness(10_000)
	h.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
	for range 300 {
		h.arrive(admitter.Request{Workspace: "greedy", Weight: 1, Class: config.Batch, Tokens: 10})
	}
	for range 100 {
		h.arrive(admitter.Request{Workspace: "small", Weight: 1, Class: config.Batch, Tokens: 10})
		h.arrive(admitter.Request{Workspace: "large", Weight: 3, Class: config.Batch, Tokens: 10})
	}
	h.freeSlots(100)
	for ws, want := range map[string]int{"greedy": 20, "small": 20, "large": 60} {
		got := h.count(func(r admitter.Request) bool { return r.Workspace == ws })
		if got < want-2 || got > want+2 {
			t.Errorf("%s got %d of 100, want about %d", ws, got, want)
		}
	}
}

func TestClassesGetAtLeastTheirShare(t *testing.T) {
	h := newHarness(10_000)
	h.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
	for range 300 {
		for _, c := range []config.Class{config.Interactive, config.Standard, config.Batch} {
			h.arrive(admitter.Request{Workspace: "w", Weight: 1, Class: c, Tokens: 10})
		}
	}
	h.freeSlots(210)
	for c, want := range map[config.Class]int{config.Interactive: 160, config.Standard: 40, config.Batch: 10} {
		if got := h.count(func(r admitter.Request) bool { return r.Class == c }); got < want-1 {
			t.Errorf("%s got %d of 210 admissions, want at least %d", c, got, want)
		}
	}
}

// Guards against long requests being starved by short ones: whoever comes next to a free slot is
// chosen by what its workspace has had, whatever its own size.
func TestLongRequestIsNotPassedByShortOnes(t *testing.T) {
	h := newHarness(10_000)
	h.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
	short := admitter.Request{Workspace: "short", Weight: 1, Class: config.Standard, Tokens: 600}
	for range 50 {
		h.arrive(short)
	}
	h.freeSlots(20)
	h.arrive(admitter.Request{Workspace: "long", Weight: 1, Class: config.Standard, Tokens: 16_000})
	for range 2 {
		h.arrive(short)
		h.freeSlots(1)
	}
	if n := h.count(func(r admitter.Request) bool { return r.Workspace == "long" }); n != 1 {
		t.Errorf("%d long requests were admitted at the next two free slots, want 1", n)
	}
}

func TestAgedBatchRequestPassesBacklog(t *testing.T) {
	h := newHarness(10)
	h.handle(admitter.Capacity{Pool: "p", Slots: 10, Engines: 1, Pending: 10})
	h.arrive(admitter.Request{Workspace: "w", Weight: 1, Class: config.Batch, Tokens: 1})
	if len(h.admitted) != 0 {
		t.Fatal("batch request was admitted despite the backlog")
	}
	h.now = h.now.Add(11 * time.Second)
	h.handle(admitter.Tick{})
	if len(h.admitted) != 1 {
		t.Error("aged batch request was not admitted")
	}
}

func TestRejections(t *testing.T) {
	busy := admitter.Capacity{Pool: "p", Slots: 1, Occupied: 9}
	for name, c := range map[string]struct {
		run  func(*harness)
		want failure.Kind
	}{
		"deadline passed on arrival": {func(h *harness) {
			h.arrive(admitter.Request{Class: config.Batch, Deadline: h.now})
		}, failure.DeadlinePassed},
		"deadline passes in the queue": {func(h *harness) {
			h.arrive(admitter.Request{Class: config.Batch, Deadline: h.now.Add(time.Second)})
			h.now = h.now.Add(2 * time.Second)
			h.handle(admitter.Tick{})
		}, failure.DeadlinePassed},
		"interactive waits too long": {func(h *harness) {
			h.arrive(admitter.Request{Class: config.Interactive})
			h.now = h.now.Add(3 * time.Second)
			h.handle(admitter.Tick{})
		}, failure.Overloaded},
		"queue is full": {func(h *harness) {
			for range 6 {
				h.arrive(admitter.Request{Class: config.Batch})
			}
		}, failure.Overloaded},
		"bucket is empty": {func(h *harness) {
			for range 3 {
				h.arrive(admitter.Request{Class: config.Batch, Workspace: "w", Tokens: 10, Rate: 1, Burst: 15})
			}
		}, failure.RateLimited},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(5)
			h.handle(busy)
			c.run(h)
			if h.rejected[c.want] != 1 || len(h.rejected) != 1 {
				t.Errorf("rejected %v, want one %s", h.rejected, c.want)
			}
			if c.want.Response().Verdict != failure.NotRun {
				t.Errorf("verdict of %s is not NotRun", c.want)
			}
		})
	}
}

func ExampleAdmitter() {
	a := admitter.New(100)
	a.Handle(start, admitter.Capacity{Pool: "p", Slots: 1, Engines: 1})
	for ticket := range uint64(2) {
		r := admitter.Request{Ticket: ticket, Workspace: "w", Weight: 1, Class: config.Standard, Pool: "p", Deadline: start.Add(time.Minute)}
		fmt.Println(ticket, a.Handle(start, admitter.Arrived{Request: r}))
	}
	fmt.Println(a.Handle(start, admitter.Ended{Pool: "p"}))
	// Output:
	// 0 [{0}]
	// 1 []
	// [{1}]
}
