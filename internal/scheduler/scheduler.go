package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/pkg/admitter"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/retrier"
	"github.com/auburnnotch/auburnnotch/pkg/router"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

const (
	commands     = 4096 // a full ring holds callers back
	tick         = 50 * time.Millisecond
	retryRatio   = 0.1
	retryLimit   = 64
	suspectLimit = 4096
)

type flight struct {
	runs map[uint64]quarantiner.Run
}

// Scheduler is a supervisor service.
type Scheduler struct {
	clk         clock.Clock
	commands    *ring.Ring[command]
	router      *router.Router
	admitter    *admitter.Admitter
	retrier     *retrier.Retrier
	quarantiner *quarantiner.Quarantiner
	waiting     map[uint64]admit
	flights     map[string]*flight
	pools       map[string]bool
	runs        uint64
}

// New returns a Scheduler without upstreams that lets up to queueLength
// requests wait.
func New(clk clock.Clock, queueLength int, rnd *rand.Rand) *Scheduler {
	return &Scheduler{
		clk: clk, commands: ring.New[command](commands),
		router:      router.New(router.DefaultCosts(), router.IndexEntries, rnd),
		admitter:    admitter.New(queueLength),
		retrier:     retrier.New(retryRatio, retryLimit),
		quarantiner: quarantiner.New(suspectLimit),
		waiting:     map[uint64]admit{}, flights: map[string]*flight{}, pools: map[string]bool{},
	}
}

// Name implements supervisor.Service.
func (s *Scheduler) Name() string { return "scheduler" }

// Run takes commands until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	next := s.clk.After(tick)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-s.commands.Items():
			s.handle(c)
		case <-next:
			s.updateRooms()
			s.perform(s.admitter.Handle(s.clk.Now(), admitter.Tick{}))
			next = s.clk.After(tick)
		}
	}
}

func (s *Scheduler) handle(c command) {
	now := s.clk.Now()
	switch c := c.(type) {
	case admit:
		s.waiting[c.work.Ticket] = c
		s.perform(s.admitter.Handle(now, admitter.Arrived{Work: c.work}))
	case abandon:
		delete(s.waiting, c.ticket)
		s.perform(s.admitter.Handle(now, admitter.Abandoned{Ticket: c.ticket}))
	case leave:
		s.perform(s.admitter.Handle(now, admitter.Ended{Pool: c.pool}))
	case pick:
		c.reply <- s.pick(now, c)
	case began:
		s.router.RecordFirstToken(now, c.run.Choice)
	case ended:
		s.ended(now, c)
	case crashed:
		c.reply <- s.crashed(now, c.run)
	case report:
		s.router.RecordReport(now, c.id, c.report)
	case engines:
		s.setEngines(c.list)
	case suspects:
		for _, r := range c.reports {
			s.quarantiner.MergeReport(r)
		}
	case hints:
		for _, h := range c.hints {
			s.router.AddHint(h.Upstream, h.Pieces)
		}
	case look:
		c.reply <- s.view(now)
	}
}

func (s *Scheduler) setEngines(list []router.Engine) {
	s.router.SetEngines(list)
	clear(s.pools)
	for _, e := range list {
		s.pools[e.Pool] = true
	}
	s.updateRooms()
}

func (s *Scheduler) updateRooms() {
	now := s.clk.Now()
	for name := range s.pools {
		r := s.router.Capacity(now, name)
		s.perform(s.admitter.Handle(now, admitter.Capacity{
			Pool: name, Slots: r.Slots, Occupied: r.Occupied, Engines: r.Engines, Pending: r.Pending,
		}))
	}
}

func (s *Scheduler) perform(actions []admitter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case admitter.Admit:
			s.tell(a.Ticket, failure.None)
		case admitter.Reject:
			s.tell(a.Ticket, a.Kind)
		}
	}
}

func (s *Scheduler) tell(ticket uint64, k failure.Kind) {
	c, ok := s.waiting[ticket]
	if !ok {
		return
	}
	delete(s.waiting, ticket)
	a := Admission{Kind: k}
	if k == failure.None && c.first != nil {
		p := s.pick(s.clk.Now(), *c.first)
		a.First = &p
	}
	c.reply <- a
}

func (s *Scheduler) pick(now time.Time, p pick) PickResult {
	p.query.SuspectRank = -1
	switch s.quarantiner.Check(now, p.fingerprint) {
	case quarantiner.Quarantined:
		return PickResult{Quarantine: true}
	case quarantiner.Wait:
		return PickResult{Wait: true}
	case quarantiner.Isolated:
		p.query.SuspectRank = s.quarantiner.Rank(now, p.fingerprint)
		p.query.Occupied = s.occupied(now, p.fingerprint)
	}
	c, ok := s.router.Pick(now, &p.query)
	if !ok {
		return PickResult{Kind: failure.NoUpstream, Wait: p.query.SuspectRank >= 0}
	}
	if p.retry && !s.retrier.Allow() {
		return PickResult{Kind: failure.Overloaded}
	}
	s.runs++
	run := Run{Choice: c, id: s.runs, fingerprint: p.fingerprint}
	s.router.RecordSend(now, c, p.chain)
	s.quarantiner.RecordStart(p.fingerprint)
	f, ok := s.flights[c.ID]
	if !ok {
		f = &flight{runs: map[uint64]quarantiner.Run{}}
		s.flights[c.ID] = f
	}
	f.runs[run.id] = quarantiner.Run{Fingerprint: p.fingerprint, Suspect: p.query.SuspectRank >= 0}
	return PickResult{Run: run}
}

// occupied returns the upstreams where this node runs suspects other than f;
// their runs may have begun before they were suspects.
func (s *Scheduler) occupied(now time.Time, f quarantiner.Fingerprint) []string {
	var ids []string
	for id, fl := range s.flights {
		for _, r := range fl.runs {
			if r.Fingerprint != f && s.quarantiner.Check(now, r.Fingerprint) != quarantiner.Clear {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

func (s *Scheduler) ended(now time.Time, e ended) {
	c := e.run.Choice
	s.router.RecordEnd(now, c, e.run.began)
	s.router.RecordIncarnation(now, c.ID, e.result.Incarnation)
	if f, ok := s.flights[c.ID]; ok {
		delete(f.runs, e.run.id)
	}
	switch {
	case e.result.Refused:
		s.quarantiner.RecordStop(e.run.fingerprint)
	case e.result.Failed:
		s.quarantiner.RecordStop(e.run.fingerprint)
		s.router.RecordFailure(now, c.ID)
	default:
		s.quarantiner.RecordSuccess(e.run.fingerprint)
		s.router.RecordSuccess(c.ID)
		s.retrier.RecordSuccess()
	}
}

// crashed strikes every request that was in flight at the upstream of run. A
// run that was struck already is a late detection of the same crash.
func (s *Scheduler) crashed(now time.Time, run Run) []quarantiner.Report {
	f, ok := s.flights[run.Choice.ID]
	if !ok {
		return nil
	}
	if _, ok := f.runs[run.id]; !ok {
		return nil
	}
	seen := map[quarantiner.Fingerprint]bool{}
	for _, r := range f.runs {
		seen[r.Fingerprint] = seen[r.Fingerprint] || r.Suspect
	}
	flight := make([]quarantiner.Run, 0, len(seen))
	for fp, suspect := range seen {
		flight = append(flight, quarantiner.Run{Fingerprint: fp, Suspect: suspect})
	}
	clear(f.runs)
	s.router.RecordCrash(now, run.Choice.ID)
	return s.quarantiner.RecordCrash(now, run.Choice.ID, flight)
}

func (s *Scheduler) view(now time.Time) Snapshot {
	v := Snapshot{Waiting: s.admitter.Waiting(), At: now}
	for id, f := range s.flights {
		if len(f.runs) > 0 {
			v.InFlight = append(v.InFlight, InFlight{Upstream: id, Requests: len(f.runs)})
			v.Running += len(f.runs)
		}
	}
	return v
}

// Admit waits for admission.
func (s *Scheduler) Admit(ctx context.Context, w admitter.Work) (Admission, error) {
	return s.admit(ctx, admit{work: w, reply: make(chan Admission, 1)})
}

// AdmitAndPick waits for admission and chooses the upstream of the first
// attempt at once.
func (s *Scheduler) AdmitAndPick(ctx context.Context, w admitter.Work, q router.Query, chain hasher.Chain, f quarantiner.Fingerprint) (Admission, error) {
	q.Chain = chain
	first := &pick{query: q, chain: chain, fingerprint: f}
	return s.admit(ctx, admit{work: w, first: first, reply: make(chan Admission, 1)})
}

func (s *Scheduler) admit(ctx context.Context, c admit) (Admission, error) {
	if err := s.commands.Push(ctx, c); err != nil {
		return Admission{}, err
	}
	select {
	case a := <-c.reply:
		return a, nil
	case <-ctx.Done():
	}
	s.put(abandon{ticket: c.work.Ticket})
	select {
	case a := <-c.reply:
		s.giveBack(c.work.Pool, a)
	default:
	}
	return Admission{}, ctx.Err()
}

// giveBack undoes an admission that nobody waits for any more.
func (s *Scheduler) giveBack(pool string, a Admission) {
	if a.Kind != failure.None {
		return
	}
	s.ReleaseSlot(pool)
	if a.First != nil && a.First.Found() {
		s.RecordEnd(a.First.Run, Result{Refused: true})
	}
}

// ReleaseSlot gives back the place that Admit gave.
func (s *Scheduler) ReleaseSlot(pool string) { s.put(leave{pool: pool}) }

func (s *Scheduler) put(c command) { _ = s.commands.Push(context.Background(), c) }

// Pick chooses an upstream for an attempt.
func (s *Scheduler) Pick(q router.Query, chain hasher.Chain, f quarantiner.Fingerprint, retry bool) PickResult {
	reply := make(chan PickResult, 1)
	q.Chain = chain
	s.put(pick{query: q, chain: chain, fingerprint: f, retry: retry, reply: reply})
	return <-reply
}

// RecordFirstToken says that an attempt has its first token.
func (s *Scheduler) RecordFirstToken(r Run) { s.put(began{run: r}) }

// RecordEnd says how an attempt ended.
func (s *Scheduler) RecordEnd(r Run, result Result) { s.put(ended{run: r, result: result}) }

// RecordCrash says that the upstream of r died, and returns what peers should
// hear; nothing if the crash was known.
func (s *Scheduler) RecordCrash(r Run) []quarantiner.Report {
	reply := make(chan []quarantiner.Report, 1)
	s.put(crashed{run: r, reply: reply})
	return <-reply
}

// RecordLoad takes a load report of the engine id. taken is when it was asked
// for; zero if nothing that this node sent may be missing in it.
func (s *Scheduler) RecordLoad(id string, l wire.Load, taken time.Time) {
	s.put(report{id: id, report: router.Report{
		Incarnation: l.Incarnation, Occupied: l.Running + l.Waiting, Pending: l.PendingPieces, Leaving: l.Leaving, TakenAt: taken,
	}})
}

// SetEngines replaces the upstreams.
func (s *Scheduler) SetEngines(list []router.Engine) { s.put(engines{list: list}) }

// MergeReports takes reports of peers.
func (s *Scheduler) MergeReports(reports []quarantiner.Report) { s.put(suspects{reports: reports}) }

// AddHints takes hints of peers. A full ring drops them.
func (s *Scheduler) AddHints(h []peerlink.Hint) { s.commands.Offer(hints{hints: h}) }

// DroppedHintBatches returns how many batches of hints found the ring full.
func (s *Scheduler) DroppedHintBatches() int64 { return s.commands.Dropped() }

// Snapshot returns a look at the state.
func (s *Scheduler) Snapshot() Snapshot {
	reply := make(chan Snapshot, 1)
	s.put(look{reply: reply})
	return <-reply
}
