// Package ledger runs the claims of requests that may not be repeated. Each
// shard has a usual writer, chosen by rendezvous hashing of the live nodes;
// when it can't be reached any node writes for itself, since the
// compare-and-swap alone keeps claims safe.
package ledger

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

const (
	// shards is part of the stored form: another number would lose sight of
	// the claims that stand in the platform.
	shards       = 8
	workers      = 16
	queueLength  = 1024
	callTimeout  = time.Second
	peerTimeout  = 1500 * time.Millisecond
	updateTick   = 200 * time.Millisecond
	claimTimeout = 3 * time.Second
)

// Exchanger sends a message to a peer.
type Exchanger interface {
	ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, limit time.Duration) (*peerlink.Message, error)
}

// Members tells who is live and who this node is.
type Members interface {
	Live() []member.Info
	Self() member.Info
}

type shard struct {
	mu      sync.Mutex
	n       int
	waking  bool // a call of wake is pending
	machine *claimer.Claimer
}

type job struct {
	shard  *shard
	action claimer.Action
}

// Ledger is a supervisor service.
type Ledger struct {
	clk     clock.Clock
	log     logrus.FieldLogger
	store   *platform.Client
	peers   Exchanger
	members Members
	shards  [shards]*shard
	jobs    *ring.Queue[job]

	mu      sync.Mutex
	rnd     *rand.Rand
	ticket  uint64
	waiting map[uint64]chan claimer.Reply
}

// New returns a Ledger without claims in memory.
func New(clk clock.Clock, log logrus.FieldLogger, store *platform.Client, peers Exchanger, members Members, rnd *rand.Rand) *Ledger {
	l := &Ledger{
		clk: clk, log: log, store: store, peers: peers, members: members, rnd: rnd,
		jobs: ring.New[job](queueLength), waiting: map[uint64]chan claimer.Reply{},
	}
	for n := range l.shards {
		seeded := rand.New(rand.NewPCG(rnd.Uint64(), uint64(n)))
		l.shards[n] = &shard{n: n, machine: claimer.New(claimer.DefaultLimits(), seeded)}
	}
	return l
}

// Name implements supervisor.Service.
func (l *Ledger) Name() string { return "ledger" }

// Run makes the platform calls of the shards until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range workers {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case j := <-l.jobs.Items():
					l.handle(ctx, j.shard, l.call(ctx, j))
				}
			}
		})
	}
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-l.clk.After(updateTick):
				l.tick(ctx)
			}
		}
	})
	return g.Wait()
}

func (l *Ledger) tick(ctx context.Context) {
	for _, s := range l.shards {
		s.mu.Lock()
		pending := s.machine.Pending()
		s.mu.Unlock()
		if pending > 0 {
			l.handle(ctx, s, claimer.Tick{})
		}
	}
}

// Pending returns how many claims and answers wait for a commit here.
func (l *Ledger) Pending() int {
	n := 0
	for _, s := range l.shards {
		s.mu.Lock()
		n += s.machine.Pending()
		s.mu.Unlock()
	}
	return n
}

func (l *Ledger) handle(ctx context.Context, s *shard, e claimer.Event) {
	s.mu.Lock()
	actions := append([]claimer.Action(nil), s.machine.Handle(l.clk.Now(), e)...)
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case claimer.Reply:
			l.reply(a)
		case claimer.Wake:
			l.wake(ctx, s, a.At)
		default:
			_ = l.jobs.Push(ctx, job{shard: s, action: a})
		}
	}
}

// wake lets time pass for a shard at t; one call is pending at most.
func (l *Ledger) wake(ctx context.Context, s *shard, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waking {
		return
	}
	s.waking = true
	l.clk.AfterFunc(t.Sub(l.clk.Now()), func() {
		s.mu.Lock()
		s.waking = false
		s.mu.Unlock()
		l.handle(context.WithoutCancel(ctx), s, claimer.Tick{})
	})
}

func (l *Ledger) reply(r claimer.Reply) {
	l.mu.Lock()
	ch, ok := l.waiting[r.Ticket]
	delete(l.waiting, r.Ticket)
	l.mu.Unlock()
	if ok {
		ch <- r
	}
}

func (s *shard) headKey() string            { return fmt.Sprintf("ledger/%02x/head", s.n) }
func (s *shard) pageKey(name string) string { return fmt.Sprintf("ledger/%02x/page/%s", s.n, name) }

func (l *Ledger) call(ctx context.Context, j job) claimer.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := j.action.(type) {
	case claimer.ReadHead:
		p, version, err := l.read(ctx, j.shard.headKey())
		return claimer.HeadRead{Page: p, Version: version, Err: fault(err)}
	case claimer.ReadSealed:
		p, version, err := l.read(ctx, j.shard.pageKey(a.Name))
		if err == nil && version == 0 {
			err = errors.NotFoundf("sealed page %s", a.Name)
		}
		return claimer.SealedRead{Name: a.Name, Page: p, Err: fault(err)}
	case claimer.WriteHead:
		version, err := l.write(ctx, j.shard.headKey(), a.Page, a.Version)
		return claimer.HeadWritten{Version: version, Err: fault(err)}
	case claimer.ClearSealed:
		l.empty(ctx, j.shard.pageKey(a.Name))
	case claimer.WriteSealed:
		_, err := l.write(ctx, j.shard.pageKey(a.Name), a.Page, 0)
		return claimer.SealedWritten{Err: fault(err)}
	}
	return claimer.Tick{}
}

func fault(err error) claimer.Fault {
	switch {
	case err == nil:
		return claimer.OK
	case errors.Is(err, platform.Conflict):
		return claimer.Conflicted
	default:
		return claimer.Lost
	}
}

func (l *Ledger) read(ctx context.Context, key string) (claimer.Page, uint64, error) {
	var p claimer.Page
	e, err := l.store.Get(ctx, platform.LineLedger, key)
	if err != nil || e.Version == 0 {
		return p, 0, err
	}
	return p, e.Version, msgpack.Unmarshal(e.Value, &p)
}

func (l *Ledger) write(ctx context.Context, key string, p claimer.Page, version uint64) (uint64, error) {
	data, err := msgpack.Marshal(&p)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return l.store.CompareAndSwap(ctx, platform.LineLedger, key, data, version, "")
}

// empty replaces a page that is needed no more by an empty one. What fails is
// left behind; it costs room only.
func (l *Ledger) empty(ctx context.Context, key string) {
	_, version, err := l.read(ctx, key)
	if err == nil && version != 0 {
		_, _ = l.write(ctx, key, claimer.Page{}, version)
	}
}

func (l *Ledger) shardOf(k claimer.Key) *shard {
	return l.shards[binary.LittleEndian.Uint16(k[:])%shards]
}

// owner returns the usual writer of a shard.
func (l *Ledger) owner(s *shard) member.Info {
	var (
		best  member.Info
		score uint64
	)
	for _, m := range l.members.Live() {
		if m.State != member.Alive {
			continue
		}
		if h := xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Name, s.n)); best.Name == "" || h > score {
			best, score = m, h
		}
	}
	return best
}

// Holder returns the name under which this node claims.
func (l *Ledger) Holder() string { return holderName(l.members.Self()) }

func holderName(i member.Info) string { return fmt.Sprintf("%s@%d", i.Name, i.Boot) }

// HolderAlive reports whether the node that holds a claim still runs.
func (l *Ledger) HolderAlive(holder string) bool {
	for _, m := range l.members.Live() {
		if holderName(m) == holder {
			return true
		}
	}
	return false
}

// NewNonce returns a nonce for one try to claim.
func (l *Ledger) NewNonce() claimer.Nonce {
	l.mu.Lock()
	defer l.mu.Unlock()
	return claimer.Nonce(l.rnd.Uint64())
}

// Claim asks for the right to run a request. A claim without an answer in time
// is Unavailable and is given back.
func (l *Ledger) Claim(ctx context.Context, r claimer.Request) claimer.Reply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s := l.shardOf(r.Key)
	if o := l.owner(s); o.Name != "" && o.Name != l.members.Self().Name {
		m, err := l.peers.ExchangeWithin(ctx, o.Address, &peerlink.Message{Claim: &r}, peerTimeout)
		if err == nil && m.Reply != nil && m.Reply.Outcome != claimer.Unavailable {
			return *m.Reply
		}
	}
	reply := l.claimHere(ctx, s, r)
	if reply.Outcome == claimer.Unavailable {
		l.Release(ctx, claimer.Released{Key: r.Key, Nonce: r.Nonce})
	}
	return reply
}

func (l *Ledger) claimHere(ctx context.Context, s *shard, r claimer.Request) claimer.Reply {
	ch := make(chan claimer.Reply, 1)
	l.mu.Lock()
	l.ticket++
	r.Ticket = l.ticket
	l.waiting[r.Ticket] = ch
	l.mu.Unlock()
	l.handle(ctx, s, r)
	select {
	case reply := <-ch:
		return reply
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, r.Ticket)
		l.mu.Unlock()
		return claimer.Reply{Outcome: claimer.Unavailable}
	}
}

// Finish keeps an answer. It is committed in the background.
func (l *Ledger) Finish(ctx context.Context, f claimer.Finished) {
	s := l.shardOf(f.Key)
	if !l.forward(ctx, s, &peerlink.Message{Finish: &f}) {
		l.handle(ctx, s, f)
	}
}

// Release gives back a claim that was not dispatched.
func (l *Ledger) Release(ctx context.Context, f claimer.Released) {
	s := l.shardOf(f.Key)
	if !l.forward(ctx, s, &peerlink.Message{Release: &f}) {
		l.handle(ctx, s, f)
	}
}

func (l *Ledger) forward(ctx context.Context, s *shard, m *peerlink.Message) bool {
	o := l.owner(s)
	if o.Name == "" || o.Name == l.members.Self().Name {
		return false
	}
	out, err := l.peers.ExchangeWithin(ctx, o.Address, m, peerTimeout)
	return err == nil && out.OK
}

// Answer answers the messages of the ledger, nil for others.
func (l *Ledger) Answer(ctx context.Context, m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Claim != nil:
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		r := l.claimHere(ctx, l.shardOf(m.Claim.Key), *m.Claim)
		return &peerlink.Message{Reply: &r}
	case m.Finish != nil:
		l.handle(ctx, l.shardOf(m.Finish.Key), *m.Finish)
		return &peerlink.Message{OK: true}
	case m.Release != nil:
		l.handle(ctx, l.shardOf(m.Release.Key), *m.Release)
		return &peerlink.Message{OK: true}
	}
	return nil
}
