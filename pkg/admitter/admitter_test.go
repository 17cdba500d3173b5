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

// line is a pool whose one slot is freed at each step.
type line struct {
	a        *admitter.Admitter
	now      time.Time
	work     map[uint64]admitter.Request
	admitted []admitter.Request
	refused  map[failure.Kind]int
	ticket   uint64
}

func newLine(limit int) *line {
	return &line{a: admitter.New(limit), now: start, work: map[uint64]admitter.Request{}, refused: map[failure.Kind]int{}}
}

func (l *line) handle(e admitter.Event) {
	for _, a := range append([]admitter.Action(nil), l.a.Handle(l.now, e)...) {
		switch a := a.(type) {
		case admitter.Admit:
			l.admitted = append(l.admitted, l.work[a.Ticket])
		case admitter.Reject:
			l.refused[a.Kind]++
		}
	}
}

func (l *line) arrive(w admitter.Request) {
	l.ticket++
	w.Ticket, w.Pool = l.ticket, "p"
	if w.Deadline.IsZero() {
		w.Deadline = l.now.Add(time.Hour)
	}
	l.work[w.Ticket] = w
	l.handle(admitter.Arrived{Request: w})
}

func (l *line) serve(n int) {
	for range n {
		l.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
		l.handle(admitter.Ended{Pool: "p"})
	}
}

func (l *line) count(of func(admitter.Request) bool) int {
	n := 0
	for _, w := range l.admitted {
		if of(w) {
			n++
		}
	}
	return n
}

func TestWorkspacesShareByWeight(t *testing.T) {
	l := newLine(10_000)
	l.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
	for range 300 {
		l.arrive(admitter.Request{Workspace: "greedy", Weight: 1, Class: config.Batch, Tokens: 10})
	}
	for range 100 {
		l.arrive(admitter.Request{Workspace: "small", Weight: 1, Class: config.Batch, Tokens: 10})
		l.arrive(admitter.Request{Workspace: "large", Weight: 3, Class: config.Batch, Tokens: 10})
	}
	l.serve(100)
	for ws, want := range map[string]int{"greedy": 20, "small": 20, "large": 60} {
		got := l.count(func(w admitter.Request) bool { return w.Workspace == ws })
		if got < want-2 || got > want+2 {
			t.Errorf("%s got %d of 100, want about %d", ws, got, want)
		}
	}
}

func TestEachClassGetsItsShareAtLeast(t *testing.T) {
	l := newLine(10_000)
	l.handle(admitter.Capacity{Pool: "p", Slots: 1, Occupied: 1})
	for range 300 {
		for _, c := range []config.Class{config.Interactive, config.Standard, config.Batch} {
			l.arrive(admitter.Request{Workspace: "w", Weight: 1, Class: c, Tokens: 10})
		}
	}
	l.serve(210)
	for c, want := range map[config.Class]int{config.Interactive: 160, config.Standard: 40, config.Batch: 10} {
		if got := l.count(func(w admitter.Request) bool { return w.Class == c }); got < want-1 {
			t.Errorf("%s got %d in 210 turns, want %d at least", c, got, want)
		}
	}
}

func TestBatchArrivesBehindABacklog(t *testing.T) {
	l := newLine(10)
	l.handle(admitter.Capacity{Pool: "p", Slots: 10, Engines: 1, Pending: 10})
	l.arrive(admitter.Request{Workspace: "w", Weight: 1, Class: config.Batch, Tokens: 1})
	if len(l.admitted) != 0 {
		t.Fatal("batch work passed the backlog")
	}
	l.now = l.now.Add(11 * time.Second)
	l.handle(admitter.Tick{})
	if len(l.admitted) != 1 {
		t.Error("aged batch work still waits")
	}
}

func TestRefusals(t *testing.T) {
	busy := admitter.Capacity{Pool: "p", Slots: 1, Occupied: 9}
	for name, c := range map[string]struct {
		run  func(*line)
		want failure.Kind
	}{
		"deadline passed on arrival": {func(l *line) {
			l.arrive(admitter.Request{Class: config.Batch, Deadline: l.now})
		}, failure.DeadlinePassed},
		"deadline passes in the queue": {func(l *line) {
			l.arrive(admitter.Request{Class: config.Batch, Deadline: l.now.Add(time.Second)})
			l.now = l.now.Add(2 * time.Second)
			l.handle(admitter.Tick{})
		}, failure.DeadlinePassed},
		"interactive waits too long": {func(l *line) {
			l.arrive(admitter.Request{Class: config.Interactive})
			l.now = l.now.Add(3 * time.Second)
			l.handle(admitter.Tick{})
		}, failure.Overloaded},
		"queue is full": {func(l *line) {
			for range 6 {
				l.arrive(admitter.Request{Class: config.Batch})
			}
		}, failure.Overloaded},
		"bucket is empty": {func(l *line) {
			for range 3 {
				l.arrive(admitter.Request{Class: config.Batch, Workspace: "w", Tokens: 10, Rate: 1, Burst: 15})
			}
		}, failure.RateLimited},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLine(5)
			l.handle(busy)
			c.run(l)
			if l.refused[c.want] != 1 || len(l.refused) != 1 {
				t.Errorf("refused %v, want one %s", l.refused, c.want)
			}
			if c.want.Answer().Verdict != failure.NotRun {
				t.Errorf("%s doesn't say that the request was not run", c.want)
			}
		})
	}
}

func ExampleAdmitter() {
	a := admitter.New(100)
	a.Handle(start, admitter.Capacity{Pool: "p", Slots: 1, Engines: 1})
	for ticket := range uint64(2) {
		w := admitter.Request{Ticket: ticket, Workspace: "w", Weight: 1, Class: config.Standard, Pool: "p", Deadline: start.Add(time.Minute)}
		fmt.Println(ticket, a.Handle(start, admitter.Arrived{Request: w}))
	}
	fmt.Println(a.Handle(start, admitter.Ended{Pool: "p"}))
	// Output:
	// 0 [{0}]
	// 1 []
	// [{1}]
}
