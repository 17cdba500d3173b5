package adviser

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// patience is how long an answer is waited for: a round trip between data
	// centres takes 2 to 3 ms, and a small VM may have to wait for its processor.
	patience = 25 * time.Millisecond
	// missesToLeave is how many answers in a row must be missing for the next
	// node to be asked: one may be lost on the way.
	missesToLeave = 2
	// rest is how long a node that doesn't answer isn't asked.
	rest = 500 * time.Millisecond
)

// Transport carries datagrams between nodes.
type Transport interface {
	Send(address string, kind broadcaster.Kind, v any) error
	Handle(kind broadcaster.Kind, take broadcaster.Handler)
}

// Coordinator makes the choices of the node in charge.
type Coordinator interface {
	Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict)
	// ReadsStore reports whether a hub has said lately that it reads the store.
	ReadsStore(node string) bool
}

type question struct {
	Number uint64
	From   string // name of the node
	Query  placer.Query
}

type answer struct {
	Number  uint64
	Verdict placer.Verdict
	Advice  placer.Advice
}

// Adviser is safe for concurrent use.
type Adviser struct {
	clk   clock.Clock
	log   logrus.FieldLogger
	self  string
	fleet func() *roster.Roster
	post  Transport
	place Coordinator

	mu      sync.Mutex
	waiting map[uint64]chan answer
	silent  map[string]silence // by node
}

// silence is what is known of a node that has left questions unanswered.
type silence struct {
	misses int
	until  time.Time
}

// New returns the Adviser of the node with the name self. Join is called before
// it is used.
func New(clk clock.Clock, log logrus.FieldLogger, self string, fleet func() *roster.Roster) *Adviser {
	return &Adviser{clk: clk, log: log, self: self, fleet: fleet, waiting: map[uint64]chan answer{}, silent: map[string]silence{}}
}

// Attach connects it with the other nodes and with this node's own placement.
func (a *Adviser) Attach(post Transport, place Coordinator) {
	a.post, a.place = post, place
	post.Handle(broadcaster.Question, a.asked)
	post.Handle(broadcaster.Answer, a.answered)
}

// Ask implements relayer.Adviser.
func (a *Adviser) Ask(ctx context.Context, number uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	hub := a.inCharge()
	if hub == nil || hub.Name == a.self {
		return placer.Advice{}, placer.Unanswered
	}
	reply := make(chan answer, 1)
	a.mu.Lock()
	a.waiting[number] = reply
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.waiting, number)
		a.mu.Unlock()
	}()
	if err := a.post.Send(hub.Peer, broadcaster.Question, &question{Number: number, From: a.self, Query: *q}); err != nil {
		a.missed(hub.Name, err)
		return placer.Advice{}, placer.Unanswered
	}
	select {
	case got := <-reply:
		a.heard(hub.Name)
		got.Advice.By = hub.Name
		return got.Advice, got.Verdict
	case <-a.clk.After(patience):
		a.missed(hub.Name, errors.Timeoutf("answer of the node in charge"))
	case <-ctx.Done():
	}
	return placer.Advice{}, placer.Unanswered
}

// inCharge returns the first hub that answers and knows the fleet as it is. Where
// none can read the store, the first one that answers; nil if none does.
func (a *Adviser) inCharge() *traffic.Node {
	hubs := a.fleet().Aggregators()
	now := a.clk.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var answers *traffic.Node
	for i := range hubs {
		hub := &hubs[i]
		if now.Before(a.silent[hub.Name].until) {
			continue
		}
		if a.place.ReadsStore(hub.Name) {
			return hub
		}
		if answers == nil {
			answers = hub
		}
	}
	return answers
}

func (a *Adviser) missed(node string, err error) {
	a.mu.Lock()
	s := a.silent[node]
	s.misses++
	if s.misses >= missesToLeave {
		s.until = a.clk.Now().Add(rest)
	}
	a.silent[node] = s
	a.mu.Unlock()
	if s.misses == missesToLeave {
		a.log.WithError(err).WithFields(logrus.Fields{"event": "adviserLost", "peer": node}).Warn("the node in charge of placement gives no answer")
	}
}

func (a *Adviser) heard(node string) {
	a.mu.Lock()
	was := a.silent[node].misses
	delete(a.silent, node)
	a.mu.Unlock()
	if was >= missesToLeave {
		a.log.WithFields(logrus.Fields{"event": "adviserBack", "peer": node}).Info("the node in charge of placement answers again")
	}
}

func (a *Adviser) asked(from string, body []byte) error {
	var q question
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return errors.Annotate(err, "question")
	}
	advice, verdict := a.place.Advise(q.From, q.Number, &q.Query)
	return a.post.Send(from, broadcaster.Answer, &answer{Number: q.Number, Verdict: verdict, Advice: advice})
}

func (a *Adviser) answered(_ string, body []byte) error {
	var got answer
	if err := msgpack.Unmarshal(body, &got); err != nil {
		return errors.Annotate(err, "answer")
	}
	a.mu.Lock()
	reply := a.waiting[got.Number]
	delete(a.waiting, got.Number)
	a.mu.Unlock()
	if reply != nil {
		reply <- got
	}
	return nil
}
