package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/queue"
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
	commandQueueLength = 4096 // senders block while the queue is full
	tickInterval       = 50 * time.Millisecond
	retryRatio         = 0.1
	maxRetryTokens     = 64
	maxSuspects        = 4096
)

// upstreamRuns holds the runs in flight at an upstream, by ID.
type upstreamRuns struct {
	runs map[uint64]quarantiner.Run
}

// Scheduler is the scheduler of one node. It implements supervisor.Service and is
// safe for concurrent use.
type Scheduler struct {
	clk         clock.Clock
	commands    *queue.Queue[command]
	router      *router.Router
	admitter    *admitter.Admitter
	retrier     *retrier.Retrier
	quarantiner *quarantiner.Quarantiner
	waiting     map[uint64]admit
	inFlight    map[string]*upstreamRuns
	pools       map[string]bool
	lastRunID   uint64
}

// New returns a Scheduler without upstreams. Up to queueLength requests can wait
// for admission.
func New(clk clock.Clock, queueLength int, rnd *rand.Rand) *Scheduler {
	return &Scheduler{
		clk: clk, commands: queue.New[command](commandQueueLength),
		router:      router.New(router.DefaultCosts(), router.DefaultIndexEntries, rnd),
		admitter:    admitter.New(queueLength),
		retrier:     retrier.New(retryRatio, maxRetryTokens),
		quarantiner: quarantiner.New(maxSuspects),
		waiting:     map[uint64]admit{}, inFlight: map[string]*upstreamRuns{}, pools: map[string]bool{},
	}
}

// Name implements supervisor.Service.
func (s *Scheduler) Name() string { return "scheduler" }

// Run executes commands until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	next := s.clk.After(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-s.commands.Items():
			s.handle(c)
		case <-next:
			s.updateCapacity()
			s.perform(s.admitter.Handle(s.clk.Now(), admitter.Tick{}))
			next = s.clk.After(tickInterval)
		}
	}
}

func (s *Scheduler) handle(c command) {
	now := s.clk.Now()
	switch c := c.(type) {
	case admit:
		s.waiting[c.request.Ticket] = c
		s.perform(s.admitter.Handle(now, admitter.Arrived{Request: c.request}))
	case abandon:
		delete(s.waiting, c.ticket)
		s.perform(s.admitter.Handle(now, admitter.Abandoned{Ticket: c.ticket}))
	case releaseSlot:
		s.perform(s.admitter.Handle(now, admitter.Ended{Pool: c.pool}))
	case pick:
		if c.reserved {
			s.quarantiner.RecordStop(c.fingerprint)
		}
		c.reply <- s.pick(now, c)
	case cancelReservation:
		s.quarantiner.RecordStop(c.fingerprint)
	case firstToken:
		s.router.RecordFirstToken(now, c.run.Choice)
	case runEnded:
		s.recordEnd(now, c)
	case upstreamCrashed:
		c.reply <- s.recordCrash(now, c.run)
	case loadReport:
		s.router.ReceiveReport(now, c.id, c.report)
	case engineList:
		s.setEngines(c.list)
	case suspectReports:
		for _, r := range c.reports {
			s.quarantiner.MergeReport(r)
		}
	case suspectQuery:
		c.reply <- s.quarantiner.State(now, c.fingerprint)
	case hintBatch:
		for _, h := range c.hints {
			s.router.AddHint(h.Upstream, h.Pieces)
		}
	case snapshotRequest:
		c.reply <- s.snapshot(now)
	}
}

func (s *Scheduler) setEngines(list []router.Engine) {
	s.router.SetEngines(list)
	clear(s.pools)
	for _, e := range list {
		s.pools[e.Pool] = true
	}
	s.updateCapacity()
}

// updateCapacity passes the current capacity of each pool to the admitter.
func (s *Scheduler) updateCapacity() {
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
			s.sendAdmission(a.Ticket, failure.None)
		case admitter.Reject:
			s.sendAdmission(a.Ticket, a.Kind)
		}
	}
}

// sendAdmission replies to the waiting request with this ticket, if it is still
// there, and picks its first upstream if it was admitted and requested one.
func (s *Scheduler) sendAdmission(ticket uint64, k failure.Kind) {
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
		if !p.reserved {
			s.quarantiner.RecordStart(p.fingerprint)
			return PickResult{Run: Run{fingerprint: p.fingerprint}, Reserved: true}
		}
		p.query.SuspectRank = s.quarantiner.Rank(now, p.fingerprint)
		p.query.SuspectEngines = s.suspectUpstreams(now, p.fingerprint)
	}
	c, ok := s.router.Pick(now, &p.query)
	if !ok {
		return PickResult{Kind: failure.NoUpstream, Wait: p.query.SuspectRank >= 0}
	}
	if p.retry && !s.retrier.Allow() {
		return PickResult{Kind: failure.Overloaded}
	}
	s.lastRunID++
	run := Run{Choice: c, id: s.lastRunID, fingerprint: p.fingerprint}
	s.router.RecordSend(now, c, p.chain)
	s.quarantiner.RecordStart(p.fingerprint)
	f, ok := s.inFlight[c.ID]
	if !ok {
		f = &upstreamRuns{runs: map[uint64]quarantiner.Run{}}
		s.inFlight[c.ID] = f
	}
	f.runs[run.id] = quarantiner.Run{Fingerprint: p.fingerprint, Suspect: p.query.SuspectRank >= 0}
	return PickResult{Run: run}
}

// suspectUpstreams returns the upstreams where this node runs suspects other than
// f, including runs that started before their request became a suspect.
func (s *Scheduler) suspectUpstreams(now time.Time, f quarantiner.Fingerprint) []string {
	var ids []string
	for id, fl := range s.inFlight {
		for _, r := range fl.runs {
			if r.Fingerprint != f && s.quarantiner.Check(now, r.Fingerprint) != quarantiner.Clear {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

func (s *Scheduler) recordEnd(now time.Time, e runEnded) {
	c := e.run.Choice
	s.router.RecordEnd(now, c, e.run.hasFirstToken)
	s.router.RecordIncarnation(now, c.ID, e.result.Incarnation)
	inFlight := false // not after a crash, which has ended all runs there
	if f, ok := s.inFlight[c.ID]; ok {
		_, inFlight = f.runs[e.run.id]
		delete(f.runs, e.run.id)
	}
	if inFlight && (e.result.Refused || e.result.Failed) {
		s.quarantiner.RecordStop(e.run.fingerprint)
	}
	switch {
	case e.result.Refused:
	case e.result.Failed:
		s.router.RecordFailure(now, c.ID)
	default:
		s.quarantiner.RecordSuccess(e.run.fingerprint)
		s.router.RecordSuccess(c.ID)
		s.retrier.RecordSuccess()
	}
}

// recordCrash counts the crash of the upstream of run against every request in
// flight there. It does nothing if run was removed already: the crash has been
// counted, and this is a late detection of it.
func (s *Scheduler) recordCrash(now time.Time, run Run) []quarantiner.Report {
	f, ok := s.inFlight[run.Choice.ID]
	if !ok {
		return nil
	}
	if _, ok := f.runs[run.id]; !ok {
		return nil
	}
	wasSuspect := map[quarantiner.Fingerprint]bool{}
	for _, r := range f.runs {
		if _, ok := wasSuspect[r.Fingerprint]; ok {
			s.quarantiner.RecordStop(r.Fingerprint) // RecordCrash ends one run of each request
		}
		wasSuspect[r.Fingerprint] = wasSuspect[r.Fingerprint] || r.Suspect
	}
	inFlight := make([]quarantiner.Run, 0, len(wasSuspect))
	for fp, suspect := range wasSuspect {
		inFlight = append(inFlight, quarantiner.Run{Fingerprint: fp, Suspect: suspect})
	}
	clear(f.runs)
	s.router.RecordCrash(now, run.Choice.ID)
	return s.quarantiner.RecordCrash(now, run.Choice.ID, inFlight)
}

func (s *Scheduler) snapshot(now time.Time) Snapshot {
	v := Snapshot{Waiting: s.admitter.Waiting(), At: now}
	for id, f := range s.inFlight {
		if len(f.runs) > 0 {
			v.InFlight = append(v.InFlight, InFlight{Upstream: id, Requests: len(f.runs)})
			v.Running += len(f.runs)
		}
	}
	return v
}

// Admit waits until req is admitted or rejected, or ctx ends.
func (s *Scheduler) Admit(ctx context.Context, req admitter.Request) (Admission, error) {
	return s.admit(ctx, admit{request: req, reply: make(chan Admission, 1)})
}

// AdmitAndPick is like Admit and, on admission, also chooses the upstream of the
// first attempt.
func (s *Scheduler) AdmitAndPick(ctx context.Context, req admitter.Request, q router.Query, chain hasher.Chain, f quarantiner.Fingerprint) (Admission, error) {
	q.Chain = chain
	first := &pick{query: q, chain: chain, fingerprint: f}
	return s.admit(ctx, admit{request: req, first: first, reply: make(chan Admission, 1)})
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
	s.push(abandon{ticket: c.request.Ticket})
	select {
	case a := <-c.reply:
		s.undoAdmission(c.request.Pool, a)
	default:
	}
	return Admission{}, ctx.Err()
}

// undoAdmission reverts an admission that came after the request was abandoned.
func (s *Scheduler) undoAdmission(pool string, a Admission) {
	if a.Kind != failure.None {
		return
	}
	s.ReleaseSlot(pool)
	switch {
	case a.First == nil:
	case a.First.Found():
		s.RecordEnd(a.First.Run, Result{Refused: true})
	case a.First.Reserved:
		s.CancelReservation(a.First.Run.fingerprint)
	}
}

// ReleaseSlot releases the slot in pool that an admission occupied.
func (s *Scheduler) ReleaseSlot(pool string) { s.push(releaseSlot{pool: pool}) }

func (s *Scheduler) push(c command) { _ = s.commands.Push(context.Background(), c) }

// Pick chooses an upstream for an attempt. A retry takes a token from the retry
// budget, but only once an upstream was found. For a suspect the result is Reserved.
func (s *Scheduler) Pick(q router.Query, chain hasher.Chain, f quarantiner.Fingerprint, retry bool) PickResult {
	q.Chain = chain
	return s.sendPick(pick{query: q, chain: chain, fingerprint: f, retry: retry})
}

// PickReserved is like Pick for a request that is Reserved and may run though it is a
// suspect. It ends the reservation.
func (s *Scheduler) PickReserved(q router.Query, chain hasher.Chain, f quarantiner.Fingerprint, retry bool) PickResult {
	q.Chain = chain
	return s.sendPick(pick{query: q, chain: chain, fingerprint: f, retry: retry, reserved: true})
}

func (s *Scheduler) sendPick(p pick) PickResult {
	p.reply = make(chan PickResult, 1)
	s.push(p)
	return <-p.reply
}

// CancelReservation ends the reservation of a suspect that doesn't run.
func (s *Scheduler) CancelReservation(f quarantiner.Fingerprint) {
	s.push(cancelReservation{fingerprint: f})
}

// SuspectState returns what this node knows of f.
func (s *Scheduler) SuspectState(f quarantiner.Fingerprint) quarantiner.State {
	reply := make(chan quarantiner.State, 1)
	s.push(suspectQuery{fingerprint: f, reply: reply})
	return <-reply
}

// RecordFirstToken records that r has its first token.
func (s *Scheduler) RecordFirstToken(r Run) { s.push(firstToken{run: r}) }

// RecordEnd records how r ended.
func (s *Scheduler) RecordEnd(r Run, result Result) { s.push(runEnded{run: r, result: result}) }

// RecordCrash records that the upstream of r crashed. It returns the reports to
// send to peers, or none if the crash was recorded before.
func (s *Scheduler) RecordCrash(r Run) []quarantiner.Report {
	reply := make(chan []quarantiner.Report, 1)
	s.push(upstreamCrashed{run: r, reply: reply})
	return <-reply
}

// ReceiveLoad records the load report l of the engine id. takenAt is when the
// report was requested: what this node sent or ended since then is added to it.
// The zero time means that the report is used as it is.
func (s *Scheduler) ReceiveLoad(id string, l wire.Load, takenAt time.Time) {
	s.push(loadReport{id: id, report: router.Report{
		Incarnation: l.Incarnation, Occupied: l.Running + l.Waiting, Pending: l.PendingPieces, Leaving: l.Leaving, TakenAt: takenAt,
	}})
}

// SetEngines replaces the list of upstreams.
func (s *Scheduler) SetEngines(list []router.Engine) { s.push(engineList{list: list}) }

// MergeReports merges suspect reports of peers.
func (s *Scheduler) MergeReports(reports []quarantiner.Report) {
	s.push(suspectReports{reports: reports})
}

// AddHints adds placement hints of peers. It drops them if the queue is full.
func (s *Scheduler) AddHints(h []peerlink.Hint) { s.commands.Offer(hintBatch{hints: h}) }

// DroppedHintBatches returns the number of hint batches dropped because the queue
// was full.
func (s *Scheduler) DroppedHintBatches() int64 { return s.commands.Dropped() }

// Snapshot returns the current state.
func (s *Scheduler) Snapshot() Snapshot {
	reply := make(chan Snapshot, 1)
	s.push(snapshotRequest{reply: reply})
	return <-reply
}
