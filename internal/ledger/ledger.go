// Package ledger commits the claims of non-idempotent requests to the platform's
// store, so that each of these requests runs at most once. It performs the
// platform calls of the claimer's state machines, one for each shard.
//
// Each shard has a preferred writer, selected by rendezvous hashing over the live
// nodes. If it is unreachable, any other node writes to the shard itself: safety
// depends only on the compare-and-swap.
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

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/queue"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

const (
	// shardCount is part of the storage format: with another number, claims that
	// are already stored on the platform would no longer be found.
	shardCount   = 8
	workerCount  = 16
	queueLength  = 1024
	callTimeout  = time.Second
	peerTimeout  = 1500 * time.Millisecond
	tickInterval = 200 * time.Millisecond
	claimTimeout = 3 * time.Second
)

// Exchanger sends a message to a peer and returns the peer's reply.
type Exchanger interface {
	ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, limit time.Duration) (*peerlink.Message, error)
}

// Members provides the live members and the description of this node.
type Members interface {
	Live() []member.Info
	Self() member.Info
}

type shard struct {
	mu            sync.Mutex
	n             int
	tickScheduled bool // a timer of scheduleTick is pending
	machine       *claimer.Claimer
}

type job struct {
	shard  *shard
	action claimer.Action
}

// Ledger claims requests and stores their responses. It implements
// supervisor.Service.
type Ledger struct {
	clk     clock.Clock
	log     logrus.FieldLogger
	store   *platform.Client
	peers   Exchanger
	members Members
	shards  [shardCount]*shard
	jobs    *queue.Queue[job]

	mu         sync.Mutex
	rnd        *rand.Rand
	lastTicket uint64
	waiters    map[uint64]chan claimer.Reply
}

// New returns a Ledger with an empty index. Each shard is read from the store when
// it is first used.
func New(clk clock.Clock, log logrus.FieldLogger, store *platform.Client, peers Exchanger, members Members, rnd *rand.Rand) *Ledger {
	l := &Ledger{
		clk: clk, log: log, store: store, peers: peers, members: members, rnd: rnd,
		jobs: queue.New[job](queueLength), waiters: map[uint64]chan claimer.Reply{},
	}
	for n := range l.shards {
		seeded := rand.New(rand.NewPCG(rnd.Uint64(), uint64(n)))
		l.shards[n] = &shard{n: n, machine: claimer.New(claimer.DefaultLimits(), seeded)}
	}
	return l
}

// Name implements supervisor.Service.
func (l *Ledger) Name() string { return "ledger" }

// Run performs the platform calls of all shards until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for range workerCount {
		g.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case j := <-l.jobs.Items():
					l.handle(ctx, j.shard, l.execute(ctx, j))
				}
			}
		})
	}
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-l.clk.After(tickInterval):
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

// Pending returns the number of claims and updates that await a commit on this
// node.
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
			l.scheduleTick(ctx, s, a.At)
		default:
			_ = l.jobs.Push(ctx, job{shard: s, action: a})
		}
	}
}

// scheduleTick sends a Tick to the shard's state machine at t. At most one timer
// is pending for each shard.
func (l *Ledger) scheduleTick(ctx context.Context, s *shard, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tickScheduled {
		return
	}
	s.tickScheduled = true
	l.clk.AfterFunc(t.Sub(l.clk.Now()), func() {
		s.mu.Lock()
		s.tickScheduled = false
		s.mu.Unlock()
		l.handle(context.WithoutCancel(ctx), s, claimer.Tick{})
	})
}

func (l *Ledger) reply(r claimer.Reply) {
	l.mu.Lock()
	ch, ok := l.waiters[r.Ticket]
	delete(l.waiters, r.Ticket)
	l.mu.Unlock()
	if ok {
		ch <- r
	}
}

func (s *shard) headKey() string            { return fmt.Sprintf("ledger/%02x/head", s.n) }
func (s *shard) pageKey(name string) string { return fmt.Sprintf("ledger/%02x/page/%s", s.n, name) }

func (l *Ledger) execute(ctx context.Context, j job) claimer.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := j.action.(type) {
	case claimer.ReadHead:
		p, version, err := l.read(ctx, j.shard.headKey())
		return claimer.HeadRead{Page: p, Version: version, Err: faultOf(err)}
	case claimer.ReadSealed:
		p, version, err := l.read(ctx, j.shard.pageKey(a.Name))
		if err == nil && version == 0 {
			err = errors.NotFoundf("sealed page %s", a.Name)
		}
		return claimer.SealedRead{Name: a.Name, Page: p, Err: faultOf(err)}
	case claimer.WriteHead:
		version, err := l.write(ctx, j.shard.headKey(), a.Page, a.Version)
		return claimer.HeadWritten{Version: version, Err: faultOf(err)}
	case claimer.ClearSealed:
		l.clearPage(ctx, j.shard.pageKey(a.Name))
	case claimer.WriteSealed:
		_, err := l.write(ctx, j.shard.pageKey(a.Name), a.Page, 0)
		return claimer.SealedWritten{Err: faultOf(err)}
	}
	return claimer.Tick{}
}

func faultOf(err error) claimer.Fault {
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
	return p, e.Version, packer.New(e.Value).Unpack(&p)
}

func (l *Ledger) write(ctx context.Context, key string, p claimer.Page, version uint64) (uint64, error) {
	data, err := msgpack.Marshal(&p)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return l.store.CompareAndSwap(ctx, platform.LineLedger, key, data, version, "")
}

// clearPage overwrites a page that is no longer needed with an empty one. Errors
// are ignored: a page that remains costs only storage.
func (l *Ledger) clearPage(ctx context.Context, key string) {
	_, version, err := l.read(ctx, key)
	if err == nil && version != 0 {
		_, _ = l.write(ctx, key, claimer.Page{}, version)
	}
}

func (l *Ledger) shardOf(k claimer.Key) *shard {
	return l.shards[binary.LittleEndian.Uint16(k[:])%shardCount]
}

// preferredWriter returns the node that normally writes to the shard.
func (l *Ledger) preferredWriter(s *shard) member.Info {
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

// Holder returns the holder name that this node puts into its claims.
func (l *Ledger) Holder() string { return holderName(l.members.Self()) }

func holderName(i member.Info) string { return fmt.Sprintf("%s@%d", i.Name, i.BootID) }

// HolderAlive reports whether the node that holds a claim is still running.
func (l *Ledger) HolderAlive(holder string) bool {
	for _, m := range l.members.Live() {
		if holderName(m) == holder {
			return true
		}
	}
	return false
}

// NewNonce returns a nonce for one attempt to claim.
func (l *Ledger) NewNonce() claimer.Nonce {
	l.mu.Lock()
	defer l.mu.Unlock()
	return claimer.Nonce(l.rnd.Uint64())
}

// Claim requests a claim from the shard's preferred writer, or commits it on this
// node if that writer is unreachable. A claim that gets no reply in time is
// Unavailable and is released.
func (l *Ledger) Claim(ctx context.Context, r claimer.Request) claimer.Reply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	s := l.shardOf(r.Key)
	if o := l.preferredWriter(s); o.Name != "" && o.Name != l.members.Self().Name {
		m, err := l.peers.ExchangeWithin(ctx, o.Address, &peerlink.Message{Claim: &r}, peerTimeout)
		if err == nil && m.Reply != nil && m.Reply.Outcome != claimer.Unavailable {
			return *m.Reply
		}
	}
	reply := l.claimLocally(ctx, s, r)
	if reply.Outcome == claimer.Unavailable {
		l.Release(ctx, claimer.Released{Key: r.Key, Nonce: r.Nonce})
	}
	return reply
}

func (l *Ledger) claimLocally(ctx context.Context, s *shard, r claimer.Request) claimer.Reply {
	ch := make(chan claimer.Reply, 1)
	l.mu.Lock()
	l.lastTicket++
	r.Ticket = l.lastTicket
	l.waiters[r.Ticket] = ch
	l.mu.Unlock()
	l.handle(ctx, s, r)
	select {
	case reply := <-ch:
		return reply
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiters, r.Ticket)
		l.mu.Unlock()
		return claimer.Reply{Outcome: claimer.Unavailable}
	}
}

// Finish stores the response of a claimed request. It is committed in the
// background.
func (l *Ledger) Finish(ctx context.Context, f claimer.Finished) {
	s := l.shardOf(f.Key)
	if !l.forward(ctx, s, &peerlink.Message{Finish: &f}) {
		l.handle(ctx, s, f)
	}
}

// Release releases a claim whose request was not dispatched.
func (l *Ledger) Release(ctx context.Context, f claimer.Released) {
	s := l.shardOf(f.Key)
	if !l.forward(ctx, s, &peerlink.Message{Release: &f}) {
		l.handle(ctx, s, f)
	}
}

func (l *Ledger) forward(ctx context.Context, s *shard, m *peerlink.Message) bool {
	o := l.preferredWriter(s)
	if o.Name == "" || o.Name == l.members.Self().Name {
		return false
	}
	out, err := l.peers.ExchangeWithin(ctx, o.Address, m, peerTimeout)
	return err == nil && out.OK
}

// HandleMessage processes a ledger message from a peer and returns the reply. It
// returns nil for messages of other services.
func (l *Ledger) HandleMessage(ctx context.Context, m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Claim != nil:
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		r := l.claimLocally(ctx, l.shardOf(m.Claim.Key), *m.Claim)
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
