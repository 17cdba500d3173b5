// Package configkeeper maintains the configuration in force on a node. It watches
// the configuration on the platform, exchanges it with peers, and checks and writes
// the submissions of operators.
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
	"github.com/auburnnotch/auburnnotch/internal/queue"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/follower"
)

// Key is the platform key that stores the configuration.
const Key = "config"

const (
	watchWait   = 20 * time.Second
	minPause    = 200 * time.Millisecond
	maxPause    = 5 * time.Second
	callTimeout = 2 * time.Second
	pushFanout  = 4
	pullTimeout = 2 * time.Second
)

// Exchanger sends a message to a peer and returns the peer's reply.
type Exchanger interface {
	ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, limit time.Duration) (*peerlink.Message, error)
}

// Gossiper sends a message to up to n random peers and returns how many replied.
type Gossiper interface {
	SendToSome(ctx context.Context, n int, m *peerlink.Message) int
}

// Watcher reports whether this node is one of those that watch the platform.
type Watcher func() bool

// Keeper holds the configuration in force and updates it from the platform and from
// peers. It implements supervisor.Service.
type Keeper struct {
	clk       clock.Clock
	log       logrus.FieldLogger
	store     *platform.Client
	peers     Exchanger
	gossip    Gossiper
	isWatcher Watcher
	events    *queue.Queue[follower.Event]
	current   atomic.Pointer[catalog.Catalog]
	mu        sync.Mutex
	doc       follower.Document
	onChange  []func(*catalog.Catalog)
}

// New returns a Keeper without a configuration. SetPeers must be called before Run.
func New(clk clock.Clock, log logrus.FieldLogger, store *platform.Client, isWatcher Watcher) *Keeper {
	const eventQueueLength = 64
	return &Keeper{clk: clk, log: log, store: store, isWatcher: isWatcher, events: queue.New[follower.Event](eventQueueLength)}
}

// SetPeers sets the services that reach other nodes.
func (k *Keeper) SetPeers(x Exchanger, g Gossiper) { k.peers, k.gossip = x, g }

// OnChange registers f to be called with each configuration before it comes in force, so
// that requests under it find what f prepares. It must be called before Run.
func (k *Keeper) OnChange(f func(*catalog.Catalog)) { k.onChange = append(k.onChange, f) }

// Name implements supervisor.Service.
func (k *Keeper) Name() string { return "configkeeper" }

// Current returns the configuration in force, or nil if there is none.
func (k *Keeper) Current() *catalog.Catalog { return k.current.Load() }

// Revision returns the revision in force, or 0 if there is none.
func (k *Keeper) Revision() uint64 {
	if c := k.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// Region returns the declared region of a data centre, or an empty string if it is
// unknown.
func (k *Keeper) Region(dataCentre string) string {
	if c := k.Current(); c != nil {
		return c.Region(dataCentre)
	}
	return ""
}

// ReceiveRevision processes the revision that a peer reports as in force. If the
// event queue is full it is dropped; the next probe reports it again.
func (k *Keeper) ReceiveRevision(peer string, revision uint64) {
	if revision > k.Revision() {
		k.events.Offer(follower.PeerRevision{Peer: peer, Revision: revision})
	}
}

// HandleMessage processes a configuration message from a peer and returns the
// reply. It returns nil for messages of other services.
func (k *Keeper) HandleMessage(_ context.Context, m *peerlink.Message) *peerlink.Message {
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

// Run processes configuration events until ctx ends.
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
		k.log.WithField("event", "configRestore").WithField("revision", a.Document.Revision).WithError(err).Warn("restoring the configuration in force on the platform, which had an older revision")
	case follower.ReportRefused:
		k.log.WithFields(logrus.Fields{
			"event": "configRefused", "refused": a.Refused.Revision, "inForce": a.InForce,
		}).Warn(a.Reason)
	}
}

func (k *Keeper) apply(ctx context.Context, doc follower.Document) {
	var d config.Declaration
	if err := json.Unmarshal(doc.Declaration, &d); err != nil {
		k.log.WithField("event", "configUnreadable").WithError(err).Error("cannot decode the declaration")
		return
	}
	k.mu.Lock()
	k.doc = doc
	k.mu.Unlock()
	c := catalog.New(doc.Revision, d)
	for _, f := range k.onChange {
		f(c)
	}
	k.current.Store(c)
	k.log.WithField("event", "configInForce").WithField("revision", doc.Revision).Info("configuration in force")
	k.gossip.SendToSome(ctx, pushFanout, &peerlink.Message{Document: &doc})
}

// PlatformWatch is the supervisor service that watches the platform.
type PlatformWatch struct{ *Keeper }

// Name implements supervisor.Service.
func (p PlatformWatch) Name() string { return "platformwatch" }

// Run watches the configuration on the platform while this node is one of the
// watchers. A node without a configuration also does so until it has one.
func (p PlatformWatch) Run(ctx context.Context) error {
	var version uint64
	pause := minPause
	for ctx.Err() == nil {
		if !p.isWatcher() && p.Revision() > 0 {
			clock.Sleep(ctx, p.clk, maxPause)
			continue
		}
		e, err := p.store.Watch(ctx, platform.LineConfig, Key, version, watchWait)
		if err != nil {
			clock.Sleep(ctx, p.clk, pause)
			pause = min(maxPause, 2*pause)
			continue
		}
		pause = minPause
		if e.Version == version && e.Version != 0 {
			continue
		}
		version = e.Version
		doc, err := decode(e)
		if err != nil {
			p.log.WithField("event", "configUnreadable").WithError(err).Error("cannot decode the configuration stored on the platform")
			continue
		}
		_ = p.events.Push(ctx, follower.PlatformDocument{Document: doc, Version: e.Version})
		if e.Version == 0 {
			clock.Sleep(ctx, p.clk, minPause)
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
	// File is the file name that problems refer to.
	File string
	Text []byte
	// Base is the revision that the change is based on; nil means the one in force.
	Base *uint64
}

// Check parses a submission, compares it with the configuration in force and
// returns its problems.
func (k *Keeper) Check(s Submission) (config.Declaration, []config.Problem) {
	var prev *config.Declaration
	if c := k.Current(); c != nil {
		prev = &c.Declaration
	}
	return CheckText(s.File, s.Text, k.clk.Now(), prev)
}

// CheckText parses a declaration and returns its problems with their line numbers.
// prev is the declaration in force, or nil if there is none.
func CheckText(file string, text []byte, now time.Time, prev *config.Declaration) (config.Declaration, []config.Problem) {
	var d config.Declaration
	l := loader.New(file, text)
	problems := l.Load(&d)
	if len(problems) == 0 {
		problems = d.Check(now, prev)
	}
	return d, l.Locate(problems)
}

// Submit checks a submission, writes it to the platform and returns the new
// revision. On an error nothing has changed, except with failure.OutcomeUnknown:
// the platform's response was lost, and reading the key again did not show whether
// the write took effect.
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
	latest := max(old.Revision, k.Revision())
	if s.Base != nil && *s.Base != latest {
		return 0, nil, failure.New(failure.Conflict, "revision %d is in force, not %d: look at the change of the other operator and submit again with --base %d", latest, *s.Base, latest)
	}
	text, err := json.Marshal(d)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	doc := follower.Document{Revision: latest + 1, Nonce: uuid.NewString(), Declaration: text}
	version, err := k.write(ctx, doc, e.Version)
	if err = k.resolveWrite(ctx, doc, err); err != nil {
		return 0, nil, err
	}
	_ = k.events.Push(ctx, follower.PlatformDocument{Document: doc, Version: version})
	return doc.Revision, nil, nil
}

// resolveWrite returns the result of a write that ended with err. If the platform's
// response was lost, it reads the key to determine whether the write took effect.
func (k *Keeper) resolveWrite(ctx context.Context, doc follower.Document, err error) error {
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
		clock.Sleep(ctx, k.clk, minPause)
	}
	return failure.New(failure.OutcomeUnknown, "the platform's reply was lost; `auburnnotch status` shows whether revision %d came in force", doc.Revision)
}
