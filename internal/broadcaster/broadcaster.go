package broadcaster

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// broadcastInterval is the time between two messages to each peer. It is
	// about the time that the prefill of a prompt takes.
	broadcastInterval = 100 * time.Millisecond
	// roundsPerTotal is the number of rounds between two messages to a node of a
	// large fleet that isn't an aggregator.
	roundsPerTotal = 5
	// eventFlushInterval is the shortest time between two messages about events to
	// all nodes of a large fleet. A rolling update causes some hundred events.
	eventFlushInterval = 200 * time.Millisecond
	// silenceThreshold is the silence after which callers are no longer
	// directed to a node. It spans about ten messages, some of which may be
	// lost.
	silenceThreshold = time.Second
	// aggregatorSilence is the same for an aggregator of a large fleet, which sends a
	// message to each node in every fifth round.
	aggregatorSilence = 2 * time.Second
	// hearingTime is how long after its start a node may hear nothing from the others.
	// They send to it once they have read its registration.
	hearingTime = 1500 * time.Millisecond
	// maxDatagramBytes is the size of the receive buffer, which holds any
	// datagram.
	maxDatagramBytes = 64 << 10
	// eventRepeatTime is how long suspensions and upgrades are repeated, so
	// that a lost message doesn't matter.
	eventRepeatTime = 2 * time.Second
	// maxEvents bounds the suspensions and the upgrades in a message.
	maxEvents = 128
)

// Announcement is a version of a model's weights and the age of its
// announcement.
type Announcement struct {
	Model   string
	Version int
	AgeMS   int64
}

// Suspension reports that an engine gets no new work for a time.
type Suspension struct {
	Upstream   uint32
	DurationMS int64
}

// Upgrade reports that an engine has loaded new weights.
type Upgrade struct {
	Upstream uint32
	Model    string
	Version  int
}

// Message is one datagram. It is encoded as an array, so the order of the
// fields is part of the format. Later releases add fields at the end.
type Message struct {
	From   string
	BootID uint64
	// SentAt is the sender's boot time in ns. Echo is the last SentAt that the
	// sender received from the receiver, 0 if none.
	SentAt, Echo int64
	// EchoBootID is the BootID of the receiver's incarnation that sent Echo.
	// After a power loss, the boot time is that of another clock.
	EchoBootID uint64
	// ConfigVersion and ProofAgeMS are the configuration's version and the age
	// of the freshness proof, -1 if there is none.
	ConfigVersion uint64
	ProofAgeMS    int64
	Leaving       bool
	// Aggregated is true if Loads are the totals over all nodes.
	Aggregated bool
	// StoreReader is true if the sender reads the store for other nodes and has
	// done so recently. Revision, Hash and LatestConfig (the configuration's
	// version) are its digest.
	StoreReader  bool
	LatestConfig uint64
	// CacheStoreDown is true if a store reader gets no response from any cache
	// store.
	CacheStoreDown bool
	Revision, Hash uint64
	placer.Report
	Placements []placer.Placement
	// SilentNodes are registered nodes that an aggregator doesn't receive
	// messages from.
	SilentNodes   []string
	Announcements []Announcement
	Suspensions   []Suspension
	Upgrades      []Upgrade
	// Evidence is what the sender knows of requests that crash upstreams. Nodes have it
	// since ProtocolEvidence.
	Evidence detector.Evidence
	// StoreAgeMS is how long the platform's store has been in reach of the sender since the
	// last outage, 0 if it knows of none. Nodes have it since ProtocolOutage.
	StoreAgeMS int64
	// Usage is what the sender has used of the limits of workspaces. Nodes have it, and the
	// next fields, since ProtocolUsage.
	Usage limiter.Report
	// Summarized is true if Shortages are the workspaces in shortage, from a node that
	// receives the reports of all nodes.
	Summarized bool
	Shortages  []limiter.Shortage
	// Samples tell how fast engines are, from the responses since the sender's last message. Nodes have
	// them since ProtocolUsage.
	Samples placer.Samples
	// UpstreamRates are the latest changes of the rates to which upstreams limit their requests,
	// and UpstreamUsage what the sender has used of them. Nodes have both since
	// ProtocolUpstreamRates.
	UpstreamRates []ratetracker.Statement
	UpstreamUsage limiter.Report
}

// Kind is the first byte of a datagram.
type Kind byte

// The kinds of datagrams. Their values are part of the format.
const (
	kindMessage Kind = iota
	// Question asks the placement coordinator where to send a prompt; Answer
	// carries its advice.
	Question
	Answer
	// ChangesRequest asks a store reader for changes of the store; ChangesResponse
	// carries them.
	ChangesRequest
	ChangesResponse
	// GrantRequest asks an aggregator whether the limit of a workspace admits a request;
	// GrantResponse carries its decision.
	GrantRequest
	GrantResponse
)

// Handler handles the body of a datagram. It must not retain the body.
type Handler func(from string, body []byte) error

// LocalState provides the node's own state and receives that of its peers.
type LocalState interface {
	// Fill sets the fields that the node sends to all peers.
	Fill(m *Message)
	// Receive handles a peer's message.
	Receive(m *Message)
}

// echo is the last SentAt of a peer and the incarnation that sent it.
type echo struct {
	sentAt int64
	bootID uint64
}

type announcedSuspension struct {
	upstream    uint32
	until       time.Time
	announcedAt time.Time
}

type announcedUpgrade struct {
	Upgrade
	announcedAt time.Time
}

// leaver is a node in graceful shutdown, which isn't registered any more.
type leaver struct {
	peer string // its address
	at   time.Time
}

// Broadcaster is a supervisor service that exchanges messages with all peers.
type Broadcaster struct {
	clk   clock.Clock
	boot  clock.BootClock
	log   logrus.FieldLogger
	self  traffic.Node
	conn  *net.UDPConn
	fleet func() *roster.Roster
	state LocalState
	scope tally.Scope
	// handlers has the handlers of the other kinds of datagrams.
	handlers map[Kind]Handler

	mu           sync.Mutex
	aggregator   *aggregator
	startedAt    time.Time
	round        int
	echoes       map[string]echo
	lastReceived map[string]time.Time // by node name
	// reportedSilent is the last report about silent nodes, of this node while it is an
	// aggregator, or else of another one.
	reportedSilent []string
	// hasReport is set once a node of a large fleet has received a report.
	hasReport bool
	// leavers are the nodes that have announced that they are leaving, by name.
	leavers     map[string]leaver
	suspensions []announcedSuspension
	upgrades    []announcedUpgrade
	leaving     bool
	unreachable map[string]bool
	// unreadable has the senders of unreadable datagrams, by address, and the BootID of
	// their incarnation, 0 if it isn't known.
	unreadable map[string]uint64
	sendNow    chan struct{}
	// everyone is set if the next messages go to all nodes. eventsPending is set if
	// there are events that not all nodes were sent, which is done at most every
	// eventFlushInterval since flushedAt.
	everyone, eventsPending bool
	flushedAt               time.Time
	// storeReaders holds when nodes that read the store for others last sent a
	// message.
	storeReaders map[string]time.Time
}

// New opens the socket of a node. fleet returns the registered nodes. Unreadable
// datagrams are counted in scope.
func New(clk clock.Clock, boot clock.BootClock, log logrus.FieldLogger, self traffic.Node, fleet func() *roster.Roster, state LocalState, scope tally.Scope) (*Broadcaster, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.Peer)
	if err != nil {
		return nil, errors.Annotate(err, "peerListen")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for peer datagrams")
	}
	return &Broadcaster{
		clk: clk, boot: boot, log: log, self: self, startedAt: clk.Now(), conn: conn, fleet: fleet, state: state, scope: scope, handlers: map[Kind]Handler{},
		echoes: map[string]echo{}, lastReceived: map[string]time.Time{}, leavers: map[string]leaver{}, unreachable: map[string]bool{}, unreadable: map[string]uint64{}, aggregator: newAggregator(), sendNow: make(chan struct{}, 1), storeReaders: map[string]time.Time{},
	}, nil
}

// Name implements supervisor.Service.
func (b *Broadcaster) Name() string { return "herald" }

// Run sends and receives until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = b.conn.Close() }) // unblocks receiveLoop
	defer stop()
	g.Go(func() error { return b.receiveLoop(ctx) })
	g.Go(func() error { return b.broadcastLoop(ctx) })
	return g.Wait()
}

// AnnounceLeaving tells peers at once to direct no more callers to this node.
func (b *Broadcaster) AnnounceLeaving() {
	b.mu.Lock()
	b.leaving, b.everyone = true, true
	b.mu.Unlock()
	b.triggerBroadcast()
}

// Announce sends the local state to all nodes at once.
func (b *Broadcaster) Announce() {
	b.mu.Lock()
	b.everyone = true
	b.mu.Unlock()
	b.triggerBroadcast()
}

func (b *Broadcaster) triggerBroadcast() {
	select {
	case b.sendNow <- struct{}{}:
	default:
	}
}

func (b *Broadcaster) broadcastLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-b.sendNow:
		case <-b.clk.After(broadcastInterval):
			b.round++
		}
		b.broadcast()
	}
	return nil
}

func (b *Broadcaster) sendMessage(n *traffic.Node, m *Message) {
	b.mu.Lock()
	m.Echo, m.EchoBootID = b.echoes[n.Name].sentAt, b.echoes[n.Name].bootID
	b.mu.Unlock()
	m.SentAt = int64(b.boot.Elapsed())
	b.recordSendResult(n.Name, b.Send(n.Peer, kindMessage, m))
}

// Handle sets the handler for a kind of datagram. It must be called before Run.
func (b *Broadcaster) Handle(kind Kind, handler Handler) { b.handlers[kind] = handler }

// Send sends a datagram to the address of a node.
func (b *Broadcaster) Send(address string, kind Kind, v any) error {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Annotatef(err, "resolve node address %q", address)
	}
	data, err := packer.Pack(v)
	if err == nil {
		_, err = b.conn.WriteToUDP(append([]byte{byte(kind)}, data...), addr)
	}
	return errors.Trace(err)
}

// recordSendResult logs when sending to a peer starts to fail and when it works
// again. receiveLoop records its errors here too, under an empty peer name.
func (b *Broadcaster) recordSendResult(peer string, err error) {
	b.mu.Lock()
	was := b.unreachable[peer]
	b.unreachable[peer] = err != nil
	b.mu.Unlock()
	switch {
	case err != nil && !was:
		b.log.WithError(err).WithFields(logrus.Fields{"event": "peerLost", "peer": peer}).Info("failed to send messages to the peer")
	case err == nil && was:
		b.log.WithFields(logrus.Fields{"event": "peerBack", "peer": peer}).Info("messages to the peer can be sent again")
	}
}

func (b *Broadcaster) message() *Message {
	m := &Message{From: b.self.Name, BootID: b.self.BootID, ProofAgeMS: -1}
	b.state.Fill(m)
	now := b.clk.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	m.Leaving = b.leaving
	kept := b.suspensions[:0]
	for _, c := range b.suspensions {
		if now.Before(c.until) && now.Sub(c.announcedAt) < eventRepeatTime {
			kept = append(kept, c)
			m.Suspensions = append(m.Suspensions, Suspension{Upstream: c.upstream, DurationMS: c.until.Sub(now).Milliseconds()})
		}
	}
	b.suspensions = kept
	done := b.upgrades[:0]
	for _, u := range b.upgrades {
		if now.Sub(u.announcedAt) < eventRepeatTime {
			done = append(done, u)
			m.Upgrades = append(m.Upgrades, u.Upgrade)
		}
	}
	b.upgrades = done
	m.Suspensions = m.Suspensions[max(0, len(m.Suspensions)-maxEvents):]
	m.Upgrades = m.Upgrades[max(0, len(m.Upgrades)-maxEvents):]
	return m
}

func (b *Broadcaster) receiveLoop(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := b.conn.ReadFromUDP(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			b.recordSendResult("", err)
			continue
		case n == 0:
			continue
		}
		if err := b.dispatch(Kind(buf[0]), from.String(), buf[1:n]); err != nil {
			b.recordUnreadable(Kind(buf[0]), from.String(), err)
		}
	}
}

// recordUnreadable counts a datagram that can't be read, and logs the first one of each
// sender: it probably runs another release.
func (b *Broadcaster) recordUnreadable(kind Kind, from string, err error) {
	b.scope.Tagged(map[string]string{"kind": strconv.Itoa(int(kind))}).Counter("unreadable_datagrams").Inc(1)
	sender := traffic.Node{Name: from}
	for _, n := range b.fleet().Nodes() {
		if n.Peer == from {
			sender = n
		}
	}
	b.mu.Lock()
	bootID, known := b.unreadable[from]
	b.unreadable[from] = sender.BootID
	b.mu.Unlock()
	if known && bootID == sender.BootID {
		return
	}
	b.log.WithError(err).WithFields(logrus.Fields{
		"event": "peerUnreadable", "peer": sender.Name, "kind": kind, "protocol": sender.Protocol, "ownProtocol": b.self.Protocol,
	}).Warn("ignoring the unreadable datagrams of a peer")
}

func (b *Broadcaster) dispatch(kind Kind, from string, body []byte) error {
	if handler, ok := b.handlers[kind]; ok {
		return handler(from, body)
	}
	if kind != kindMessage {
		return errors.NotSupportedf("datagram of kind %d", kind)
	}
	var m Message
	if err := packer.New(body).Unpack(&m); err != nil {
		return errors.Trace(err)
	}
	if m.From == b.self.Name {
		return nil
	}
	b.mu.Lock()
	b.echoes[m.From] = echo{sentAt: m.SentAt, bootID: m.BootID}
	b.lastReceived[m.From] = b.clk.Now()
	if m.StoreReader {
		b.storeReaders[m.From] = b.clk.Now()
	}
	if m.Aggregated {
		b.reportedSilent, b.hasReport = m.SilentNodes, true
	}
	if m.Leaving {
		b.leavers[m.From] = leaver{peer: from, at: b.clk.Now()}
	}
	b.mu.Unlock()
	if fleet := b.fleet(); !m.Aggregated && !fleet.FullMesh() && fleet.IsAggregator(b.self.Name) {
		b.aggregator.add(b.clk.Now(), &m)
	}
	if m.EchoBootID != b.self.BootID {
		m.Echo = 0
	}
	b.state.Receive(&m)
	return nil
}
