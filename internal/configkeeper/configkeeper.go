// Package configkeeper keeps the configuration in force: it watches the
// platform, asks peers, and takes submissions of operators.
package configkeeper

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/loader"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/ring"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/follower"
)

// Key is where the configuration stands on the platform.
const Key = "config"

const (
	watchWait   = 20 * time.Second
	firstPause  = 200 * time.Millisecond
	maxPause    = 5 * time.Second
	callTimeout = 2 * time.Second
	pushFanout  = 4
	pullTimeout = 2 * time.Second
)

// Exchanger sends a message to a peer.
type Exchanger interface {
	ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, limit time.Duration) (*peerlink.Message, error)
}

// Gossiper sends a message to some random peers.
type Gossiper interface {
	SendToSome(ctx context.Context, n int, m *peerlink.Message) int
}

// Watcher says whether this node is one of those that watch the platform.
type Watcher func() bool

// Keeper is a supervisor service.
type Keeper struct {
	clk     clock.Clock
	log     logrus.FieldLogger
	store   *platform.Client
	peers   Exchanger
	teller  Gossiper
	watches Watcher
	events  *ring.Queue[follower.Event]
	current atomic.Pointer[catalog.Catalog]
	mu      sync.Mutex
	doc     follower.Document
	changed []func(*catalog.Catalog)
}

// New returns a Keeper. SetPeers completes it before Run.
func New(clk clock.Clock, log logrus.FieldLogger, store *platform.Client, watches Watcher) *Keeper {
	const waiting = 64
	return &Keeper{clk: clk, log: log, store: store, watches: watches, events: ring.New[follower.Event](waiting)}
}

// SetPeers gives the Keeper its way to other nodes.
func (k *Keeper) SetPeers(x Exchanger, t Gossiper) { k.peers, k.teller = x, t }

// OnChange has f called with each configuration that comes in force.
func (k *Keeper) OnChange(f func(*catalog.Catalog)) { k.changed = append(k.changed, f) }

// Name implements supervisor.Service.
func (k *Keeper) Name() string { return "configkeeper" }

// Current returns the configuration in force, nil for none.
func (k *Keeper) Current() *catalog.Catalog { return k.current.Load() }

// Revision returns the revision in force, 0 for none.
func (k *Keeper) Revision() uint64 {
	if c := k.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// Region returns the declared region of a data centre, empty if unknown.
func (k *Keeper) Region(dataCentre string) string {
	if c := k.Current(); c != nil {
		return c.Region(dataCentre)
	}
	return ""
}

// ReceiveRevision takes a revision that a peer says it has. A dropped one comes again
// with the next probe.
func (k *Keeper) ReceiveRevision(peer string, revision uint64) {
	if revision > k.Revision() {
		k.events.Offer(follower.PeerRevision{Peer: peer, Revision: revision})
	}
}

// Answer answers the messages of the configuration, nil for others.
func (k *Keeper) Answer(_ context.Context, m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Pull:
		k.mu.Lock()
		defer k.mu.Unlock()
		doc := k.doc
		return &peerlink.Message{Document: &doc}
	case m.Document != nil:
		return &peerlink.Message{OK: k.events.Offer(follower.PeerDocument{Document: *m.Document})}
	}
	return nil
}

// Run applies what arrives until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	machine := follower.New()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-k.events.Items():
			for _, a := range machine.Handle(e) {
				k.perform(ctx, a)
			}
		}
	}
}

func (k *Keeper) perform(ctx context.Context, a follower.Action) {
	switch a := a.(type) {
	case follower.Apply:
		k.apply(ctx, a.Document)
	case follower.Pull:
		m, err := k.peers.ExchangeWithin(ctx, a.Peer, &peerlink.Message{Pull: true}, pullTimeout)
		if err == nil && m.Document != nil {
			k.events.Offer(follower.PeerDocument{Document: *m.Document})
		}
	case follower.Restore:
		_, err := k.write(ctx, a.Document, a.Version)
		k.log.WithField("event", "configRestore").WithField("revision", a.Document.Revision).WithError(err).Warn("platform had an older revision")
	case follower.ReportRefused:
		k.log.WithFields(logrus.Fields{
			"event": "configRefused", "refused": a.Refused.Revision, "inForce": a.InForce,
		}).Warn(a.Reason)
	}
}

func (k *Keeper) apply(ctx context.Context, doc follower.Document) {
	var d config.Declaration
	if err := json.Unmarshal(doc.Declaration, &d); err != nil {
		k.log.WithField("event", "configUnreadable").WithError(err).Error("declaration can't be read")
		return
	}
	k.mu.Lock()
	k.doc = doc
	k.mu.Unlock()
	c := catalog.New(doc.Revision, d)
	k.current.Store(c)
	k.log.WithField("event", "configInForce").WithField("revision", doc.Revision).Info("configuration in force")
	for _, f := range k.changed {
		f(c)
	}
	k.teller.SendToSome(ctx, pushFanout, &peerlink.Message{Document: &doc})
}

// PlatformWatch is the supervisor service that watches the platform.
type PlatformWatch struct{ *Keeper }

// Name implements supervisor.Service.
func (p PlatformWatch) Name() string { return "platformwatch" }

// Run holds a watch on the platform while this node is one of the watchers.
// A node without a configuration reads it once in any case.
func (p PlatformWatch) Run(ctx context.Context) error {
	var version uint64
	pause := firstPause
	for ctx.Err() == nil {
		if !p.watches() && p.Revision() > 0 {
			clock.Sleep(ctx, p.clk, maxPause)
			continue
		}
		e, err := p.store.Watch(ctx, platform.LineConfig, Key, version, watchWait)
		if err != nil {
			clock.Sleep(ctx, p.clk, pause)
			pause = min(maxPause, 2*pause)
			continue
		}
		pause = firstPause
		if e.Version == version && e.Version != 0 {
			continue
		}
		version = e.Version
		doc, err := decode(e)
		if err != nil {
			p.log.WithField("event", "configUnreadable").WithError(err).Error("value on the platform can't be read")
			continue
		}
		_ = p.events.Push(ctx, follower.PlatformDocument{Document: doc, Version: e.Version})
		if e.Version == 0 {
			clock.Sleep(ctx, p.clk, firstPause)
		}
	}
	return nil
}

func decode(e platform.Entry) (follower.Document, error) {
	var d follower.Document
	if e.Version == 0 {
		return d, nil
	}
	return d, errors.Trace(json.Unmarshal(e.Value, &d))
}

func (k *Keeper) write(ctx context.Context, d follower.Document, version uint64) (uint64, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return 0, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.store.CompareAndSwap(ctx, platform.LineConfig, Key, data, version, "")
}

// Submission is an operator's request to change the configuration.
type Submission struct {
	// File names the text in problems.
	File string
	Text []byte
	// Base is the revision that the operator saw; nil takes the one in force.
	Base *uint64
}

// Check returns the problems of a submission against what is in force.
func (k *Keeper) Check(s Submission) (config.Declaration, []config.Problem) {
	var prev *config.Declaration
	if c := k.Current(); c != nil {
		prev = &c.Declaration
	}
	return CheckText(s.File, s.Text, k.clk.Now(), prev)
}

// CheckText reads a declaration and returns its problems with their lines.
func CheckText(file string, text []byte, now time.Time, prev *config.Declaration) (config.Declaration, []config.Problem) {
	var d config.Declaration
	l := loader.New(file, text)
	problems := l.Load(&d)
	if len(problems) == 0 {
		problems = d.Check(now, prev)
	}
	return d, l.Locate(problems)
}

// Submit checks a submission and writes it to the platform. It returns the new
// revision. Nothing changes on an error, except that a lost reply of the
// platform which can't be resolved gives failure.OutcomeUnknown.
func (k *Keeper) Submit(ctx context.Context, s Submission) (uint64, []config.Problem, error) {
	d, problems := k.Check(s)
	if len(problems) > 0 {
		return 0, problems, failure.New(failure.BadRequest, "the declaration has %d problems; nothing was changed", len(problems))
	}
	e, err := k.store.Get(ctx, platform.LineConfig, Key)
	if err != nil {
		return 0, nil, failure.Wrap(failure.PlatformDown, err, "read the configuration; nothing was changed, try again")
	}
	old, err := decode(e)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	seen := max(old.Revision, k.Revision())
	if s.Base != nil && *s.Base != seen {
		return 0, nil, failure.New(failure.Conflict, "revision %d is in force, not %d: look at the change of the other operator and submit again with --base %d", seen, *s.Base, seen)
	}
	text, err := json.Marshal(d)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	doc := follower.Document{Revision: seen + 1, Nonce: uuid.NewString(), Declaration: text}
	version, err := k.write(ctx, doc, e.Version)
	if err = k.settle(ctx, doc, err); err != nil {
		return 0, nil, err
	}
	_ = k.events.Push(ctx, follower.PlatformDocument{Document: doc, Version: version})
	return doc.Revision, nil, nil
}

// settle finds out whether a write whose reply was lost has taken effect.
func (k *Keeper) settle(ctx context.Context, doc follower.Document, err error) error {
	const tries = 5
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.Conflict):
		return failure.New(failure.Conflict, "another operator's change came first; look at it and submit again")
	case !errors.Is(err, platform.Uncertain):
		return failure.Wrap(failure.Internal, err, "write the configuration")
	}
	for range tries {
		e, err := k.store.Get(ctx, platform.LineConfig, Key)
		if err == nil {
			got, err := decode(e)
			if err == nil && got.Nonce == doc.Nonce {
				return nil
			}
			if err == nil && got.Revision == doc.Revision {
				return failure.New(failure.Conflict, "another operator's change came first; look at it and submit again")
			}
		}
		clock.Sleep(ctx, k.clk, firstPause)
	}
	return failure.New(failure.OutcomeUnknown, "the platform's reply was lost; `auburnnotch status` shows whether revision %d came in force", doc.Revision)
}
