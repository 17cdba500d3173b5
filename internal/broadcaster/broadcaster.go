package broadcaster

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
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
	suspensions    []announcedSuspension
	upgrades       []announcedUpgrade
	leaving        bool
	unreachable    map[string]bool
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
		echoes: map[string]echo{}, lastReceived: map[string]time.Time{}, unreachable: map[string]bool{}, unreadable: map[string]uint64{}, aggregator: newAggregator(), sendNow: make(chan struct{}, 1), storeReaders: map[string]time.Time{},
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

// AnnounceSuspension tells peers at once to send no new work to an upstream.
func (b *Broadcaster) AnnounceSuspension(upstream uint32, until time.Time) {
	now := b.clk.Now()
	b.mu.Lock()
	b.suspensions = append(b.suspensions, announcedSuspension{upstream: upstream, until: until, announcedAt: now})
	b.eventsPending = true
	b.mu.Unlock()
	b.triggerBroadcast()
}

// AnnounceUpgrade tells peers at once that an upstream has loaded new weights.
func (b *Broadcaster) AnnounceUpgrade(u Upgrade) {
	now := b.clk.Now()
	b.mu.Lock()
	b.upgrades = append(b.upgrades, announcedUpgrade{Upgrade: u, announcedAt: now})
	kept := b.suspensions[:0]
	for _, c := range b.suspensions {
		if c.upstream != u.Upstream {
			kept = append(kept, c)
		}
	}
	b.suspensions, b.eventsPending = kept, true
	b.mu.Unlock()
	b.triggerBroadcast()
}

// AnnounceLeaving tells peers at once to direct no more callers to this node.
func (b *Broadcaster) AnnounceLeaving() {
	b.mu.Lock()
	b.leaving, b.everyone = true, true
	b.mu.Unlock()
	b.triggerBroadcast()
}

// SilentNodes returns the registered nodes that callers shouldn't be directed to, since
// they have sent no message recently. In a large fleet, only the aggregators receive
// messages from all nodes, and report to the others which ones are silent.
func (b *Broadcaster) SilentNodes() []string {
	fleet := b.fleet()
	b.mu.Lock()
	defer b.mu.Unlock()
	if fleet.FullMesh() || fleet.IsAggregator(b.self.Name) {
		return b.unheardNodes(fleet.Nodes())
	}
	return b.reportedSilentNodes(fleet)
}

// unheardNodes returns the nodes that this node has heard nothing from. If these are
// half of the nodes or more, it knows too little, and returns the last report of another
// aggregator: it is probably cut off itself, or has just become an aggregator.
func (b *Broadcaster) unheardNodes(nodes []traffic.Node) []string {
	if out, ok := b.listUnheard(nodes); ok {
		b.reportedSilent = out // for the time when another node is the aggregator
	}
	return slices.Clone(b.reportedSilent)
}

// hearsMostNodes reports whether this node hears enough of the fleet to report on it.
func (b *Broadcaster) hearsMostNodes(nodes []traffic.Node) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.listUnheard(nodes)
	return ok
}

// listUnheard returns the nodes that this node has heard nothing from. ok is false if
// these are half of the nodes or more.
func (b *Broadcaster) listUnheard(nodes []traffic.Node) (unheard []string, ok bool) {
	now := b.clk.Now()
	var out []string
	for i := range nodes {
		if name := nodes[i].Name; name != b.self.Name && now.Sub(b.lastReceived[name]) > silenceThreshold {
			out = append(out, name)
		}
	}
	return out, 2*len(out) < len(nodes)
}

// reportedSilentNodes returns the last report of an aggregator, which stays valid for a
// node that is cut off from all others, and the aggregators that are silent themselves
// while other nodes are heard.
func (b *Broadcaster) reportedSilentNodes(fleet *roster.Roster) []string {
	now := b.clk.Now()
	out := slices.Clone(b.reportedSilent)
	hearsOthers := false
	for _, at := range b.lastReceived {
		hearsOthers = hearsOthers || now.Sub(at) <= aggregatorSilence
	}
	if !hearsOthers || now.Sub(b.startedAt) <= aggregatorSilence {
		return out
	}
	for _, n := range fleet.Aggregators() {
		if now.Sub(b.lastReceived[n.Name]) > aggregatorSilence && !slices.Contains(out, n.Name) {
			out = append(out, n.Name)
		}
	}
	return out
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

// audience is the set of nodes that one round sends to.
type audience struct {
	fleet *roster.Roster
	// everyone is set if all nodes must learn something at once.
	everyone bool
	// relays is set if this node's messages keep the other nodes informed.
	relays bool
	round  int
}

// includes reports whether the round sends to the node at position i, besides the
// aggregators. The nodes take turns, since messages to hundreds of nodes at once
// would hold up the answers to questions on the link.
func (a audience) includes(i int) bool {
	return a.everyone || a.fleet.FullMesh() || a.relays && i%roundsPerTotal == a.round%roundsPerTotal
}

// broadcast sends one message to each node that should receive one. In a small
// fleet, each node sends to all others. In a large fleet, nodes send to the
// aggregators, and those that keep the others informed send to the rest.
func (b *Broadcaster) broadcast() {
	fleet := b.fleet()
	m := b.message()
	to := audience{fleet: fleet, everyone: b.takeEveryone(), relays: fleet.IsAggregator(b.self.Name) || m.StoreReader, round: b.round}
	readers := b.actingReaders()
	var others *Message
	for i, n := range fleet.Nodes() {
		switch {
		case n.Name == b.self.Name:
		case fleet.FullMesh(), fleet.IsAggregator(n.Name):
			b.sendMessage(&n, m)
		case to.includes(i), readers[n.Name]:
			if others == nil {
				others = b.messageToOthers(fleet, m)
			}
			b.sendMessage(&n, others)
		}
	}
}

// messageToOthers returns the message for the nodes of a large fleet that aren't
// aggregators. One aggregator adds the totals of the loads.
func (b *Broadcaster) messageToOthers(fleet *roster.Roster, m *Message) *Message {
	others := *m
	others.Loads, others.Placements, others.Tripped = nil, nil, nil
	// A new aggregator that doesn't hear most nodes yet would report that none is silent.
	if !b.sendsTotals(fleet) || !b.hearsMostNodes(fleet.Nodes()) {
		return &others
	}
	others.Aggregated = true
	others.SilentNodes = b.SilentNodes()
	others.Loads = b.aggregator.total(b.clk.Now(), m.Loads)
	return &others
}

// sendsTotals reports whether this node is the first aggregator that isn't silent.
func (b *Broadcaster) sendsTotals(fleet *roster.Roster) bool {
	for _, n := range fleet.Aggregators() {
		if n.Name == b.self.Name {
			return true
		}
		b.mu.Lock()
		silent := b.clk.Now().Sub(b.lastReceived[n.Name]) > silenceThreshold
		b.mu.Unlock()
		if !silent {
			return false
		}
	}
	return false
}

// takeEveryone reports whether the next messages go to all nodes. Events wait for
// each other for eventFlushInterval; they are sent to the aggregators at once.
func (b *Broadcaster) takeEveryone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clk.Now()
	if !b.everyone && (!b.eventsPending || now.Sub(b.flushedAt) < eventFlushInterval) {
		return false
	}
	b.everyone, b.eventsPending, b.flushedAt = false, false, now
	return true
}

// actingReaders returns the nodes that read the store for others although they
// aren't aggregators. They need this node's messages in order to echo them.
func (b *Broadcaster) actingReaders() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for name, at := range b.storeReaders {
		if b.clk.Now().Sub(at) < silenceThreshold {
			out[name] = true
		} else {
			delete(b.storeReaders, name)
		}
	}
	return out
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
		b.reportedSilent = m.SilentNodes
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
