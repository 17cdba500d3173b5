package adviser

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// answerTimeout is the timeout for an answer: a round trip between data
	// centres takes 2 to 3 ms, and a small VM may have to wait for its processor.
	answerTimeout = 25 * time.Millisecond
	// maxMisses is the number of consecutive unanswered questions after which the
	// next aggregator is asked: a single datagram may be lost in transit.
	maxMisses = 2
	// skipDuration is how long an aggregator is not asked after maxMisses.
	skipDuration = 500 * time.Millisecond
)

// Transport sends datagrams to other nodes and dispatches received ones.
type Transport interface {
	Send(address string, kind broadcaster.Kind, v any) error
	Handle(kind broadcaster.Kind, handler broadcaster.Handler)
}

// Coordinator gives placement advice as the placement coordinator.
type Coordinator interface {
	Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict)
	// ReadsStore reports whether an aggregator has recently reported that it can
	// read the store.
	ReadsStore(node string) bool
}

type question struct {
	Number uint64
	From   string // name of the asking node
	Query  placer.Query
}

type answer struct {
	Number  uint64
	Verdict placer.Verdict
	Advice  placer.Advice
}

// Adviser sends questions to the placement coordinator and answers those of other
// nodes. It is safe for concurrent use.
type Adviser struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	self      string
	roster    func() *roster.Roster
	transport Transport
	local     Coordinator

	mu      sync.Mutex
	waiting map[uint64]chan answer
	missed  map[string]missRecord // by node
}

// missRecord counts the consecutive questions that a node left unanswered.
type missRecord struct {
	misses    int
	skipUntil time.Time
}

// New returns the Adviser of the node with the name self. Attach must be called
// before the Adviser is used.
func New(clk clock.Clock, log logrus.FieldLogger, self string, fleet func() *roster.Roster) *Adviser {
	return &Adviser{clk: clk, log: log, self: self, roster: fleet, waiting: map[uint64]chan answer{}, missed: map[string]missRecord{}}
}

// Attach sets the transport and the coordinator of this node, and registers the
// handlers for questions and answers.
func (a *Adviser) Attach(transport Transport, local Coordinator) {
	a.transport, a.local = transport, local
	transport.Handle(broadcaster.Question, a.handleQuestion)
	transport.Handle(broadcaster.Answer, a.handleAnswer)
}

// Ask implements relayer.Adviser. If the coordinator doesn't answer in time, the next
// aggregator is asked, since it knows the loads of all nodes too.
func (a *Adviser) Ask(ctx context.Context, number uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	first := a.coordinator("")
	if first == nil || first.Name == a.self {
		return placer.Advice{}, placer.Unanswered
	}
	advice, verdict := a.askNode(ctx, first, number, q)
	if verdict != placer.Unanswered || ctx.Err() != nil {
		return advice, verdict
	}
	if next := a.coordinator(first.Name); next != nil && next.Name != a.self {
		return a.askNode(ctx, next, number, q)
	}
	return placer.Advice{}, placer.Unanswered
}

func (a *Adviser) askNode(ctx context.Context, node *traffic.Node, number uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	answers := make(chan answer, 1)
	a.mu.Lock()
	a.waiting[number] = answers
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.waiting, number)
		a.mu.Unlock()
	}()
	if err := a.transport.Send(node.Peer, broadcaster.Question, &question{Number: number, From: a.self, Query: *q}); err != nil {
		a.recordMiss(node.Name, err)
		return placer.Advice{}, placer.Unanswered
	}
	select {
	case got := <-answers:
		a.recordAnswer(node.Name)
		got.Advice.Coordinator = node.Name
		return got.Advice, got.Verdict
	case <-a.clk.After(answerTimeout):
		a.recordMiss(node.Name, errors.Timeoutf("answer of the placement coordinator"))
	case <-ctx.Done():
	}
	return placer.Advice{}, placer.Unanswered
}

// coordinator returns the first responsive aggregator that reads the store, other than
// except. If there is none, it returns the first responsive aggregator, or nil.
func (a *Adviser) coordinator(except string) *traffic.Node {
	aggregators := a.roster().Aggregators()
	now := a.clk.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var fallback *traffic.Node
	for i := range aggregators {
		aggregator := &aggregators[i]
		if aggregator.Name == except || now.Before(a.missed[aggregator.Name].skipUntil) {
			continue
		}
		if a.local.ReadsStore(aggregator.Name) {
			return aggregator
		}
		if fallback == nil {
			fallback = aggregator
		}
	}
	return fallback
}

func (a *Adviser) recordMiss(node string, err error) {
	a.mu.Lock()
	s := a.missed[node]
	s.misses++
	if s.misses >= maxMisses {
		s.skipUntil = a.clk.Now().Add(skipDuration)
	}
	a.missed[node] = s
	a.mu.Unlock()
	if s.misses == maxMisses {
		a.log.WithError(err).WithFields(logrus.Fields{"event": "adviserLost", "peer": node}).Warn("placement coordinator does not answer")
	}
}

func (a *Adviser) recordAnswer(node string) {
	a.mu.Lock()
	misses := a.missed[node].misses
	delete(a.missed, node)
	a.mu.Unlock()
	if misses >= maxMisses {
		a.log.WithFields(logrus.Fields{"event": "adviserBack", "peer": node}).Info("placement coordinator answers again")
	}
}

func (a *Adviser) handleQuestion(from string, body []byte) error {
	var q question
	if err := packer.New(body).Unpack(&q); err != nil {
		return errors.Annotate(err, "question")
	}
	advice, verdict := a.local.Advise(q.From, q.Number, &q.Query)
	return a.transport.Send(from, broadcaster.Answer, &answer{Number: q.Number, Verdict: verdict, Advice: advice})
}

func (a *Adviser) handleAnswer(_ string, body []byte) error {
	var got answer
	if err := packer.New(body).Unpack(&got); err != nil {
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
