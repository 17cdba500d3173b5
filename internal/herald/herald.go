package herald

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// every is the time between two messages to each peer: a prompt is read in
	// about as long.
	every = 100 * time.Millisecond
	// hubRounds is how many rounds pass between two sums of a hub.
	hubRounds = 5
	// silentAfter is the silence after which callers aren't sent to a node: about
	// ten of its messages, of which some may be lost.
	silentAfter = time.Second
	// readBytes takes any datagram.
	readBytes = 64 << 10
	// eventMemory is for how long closings and upgrades are repeated, so that a
	// lost message doesn't matter.
	eventMemory = 2 * time.Second
	// mostEvents bounds a message.
	mostEvents = 24
)

// Announcement is a version of a model's weights, and how long ago it was named.
type Announcement struct {
	Model   string
	Version int
	AgeMS   int64
}

// Suspension keeps work away from an engine.
type Suspension struct {
	Upstream uint32
	ForMS    int64
}

// Upgrade says that an engine has new weights.
type Upgrade struct {
	Upstream uint32
	Model    string
	Version  int
}

// Message is one datagram.
type Message struct {
	From string
	Boot uint64
	// Stamp is the sender's boot time in ns; Echo is the last Stamp that the
	// sender had of the receiver, 0 if none.
	Stamp, Echo int64
	// EchoBoot is the Boot of the receiver's life that Echo is of: after a loss of
	// power its boot time is that of another clock.
	EchoBoot uint64
	// Config and ProofMS are the configuration's version and the age of the
	// proof that it is the newest, -1 if there is none.
	Config  uint64
	ProofMS int64
	Leaving bool
	// Aggregated says that Loads are the sum over all nodes.
	Aggregated bool
	// StoreReader says that the sender reads the store for others and has done so
	// lately; Revision, Sum and Newest (the configuration's version) are its
	// digest.
	StoreReader bool
	Newest      uint64
	// CacheDown is a reader's word that the store of cached parts gives no
	// answer.
	CacheDown     bool
	Revision, Sum uint64
	placer.Report
	Placements []placer.Placement
	// Silent are registered nodes that a hub doesn't hear from.
	Silent        []string
	Announcements []Announcement
	Suspensions   []Suspension
	Upgrades      []Upgrade
}

// Kind is the first byte of a datagram.
type Kind byte

// The kinds of datagrams.
const (
	kindMessage Kind = iota
	// Question asks the node in charge where to send a prompt; Answer is its
	// word.
	Question
	Answer
)

// Handler takes the body of a datagram. It mustn't keep it.
type Handler func(from string, body []byte) error

// Local is the node's own state.
type Local interface {
	// Fill sets what the node tells everyone.
	Fill(m *Message)
	// Receive takes a peer's message.
	Receive(m *Message)
}

// echo is the last Stamp of a peer, and the life in which it was sent.
type echo struct {
	stamp int64
	boot  uint64
}

type closing struct {
	upstream uint32
	until    time.Time
	told     time.Time
}

type upgrade struct {
	Upgrade
	told time.Time
}

// Herald is a kernel service.
type Herald struct {
	clk   clock.Clock
	boot  clock.Boot
	log   logrus.FieldLogger
	self  traffic.Node
	conn  *net.UDPConn
	fleet func() *roster.Roster
	local Local
	// questions takes what isn't a message to all.
	questions map[Kind]Handler

	mu      sync.Mutex
	sum     *summer
	round   int
	echoes  map[string]echo
	heard   map[string]time.Time // by node
	closed  []closing
	done    []upgrade
	leaving bool
	failed  map[string]bool
	now     chan struct{}
}

// New opens the socket of a node. fleet returns the registered nodes.
func New(clk clock.Clock, boot clock.Boot, log logrus.FieldLogger, self traffic.Node, fleet func() *roster.Roster, local Local) (*Herald, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.Peer)
	if err != nil {
		return nil, errors.Annotate(err, "peerListen")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Annotate(err, "listen for peers")
	}
	return &Herald{
		clk: clk, boot: boot, log: log, self: self, conn: conn, fleet: fleet, local: local, questions: map[Kind]Handler{},
		echoes: map[string]echo{}, heard: map[string]time.Time{}, failed: map[string]bool{}, sum: newSummer(), now: make(chan struct{}, 1),
	}, nil
}

// Name implements kernel.Service.
func (h *Herald) Name() string { return "herald" }

// Run sends and receives until ctx ends.
func (h *Herald) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = h.conn.Close() }) // ends the reading
	defer stop()
	g.Go(func() error { return h.receive(ctx) })
	g.Go(func() error { return h.send(ctx) })
	return g.Wait()
}

// AnnounceSuspension tells peers at once to keep work away from an upstream.
func (h *Herald) AnnounceSuspension(upstream uint32, until time.Time) {
	now := h.clk.Now()
	h.mu.Lock()
	h.closed = append(h.closed, closing{upstream: upstream, until: until, told: now})
	h.mu.Unlock()
	h.hurry()
}

// AnnounceUpgrade tells peers at once that an upstream has new weights.
func (h *Herald) AnnounceUpgrade(u Upgrade) {
	now := h.clk.Now()
	h.mu.Lock()
	h.done = append(h.done, upgrade{Upgrade: u, told: now})
	kept := h.closed[:0]
	for _, c := range h.closed {
		if c.upstream != u.Upstream {
			kept = append(kept, c)
		}
	}
	h.closed = kept
	h.mu.Unlock()
	h.hurry()
}

// Leave tells peers that callers aren't to be sent here any more.
func (h *Herald) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.hurry()
}

// SilentNodes returns the registered nodes that haven't been heard lately; none where
// that is half of them or more, since then this node is cut off itself. Only a
// hub, or a node of a small fleet, hears from all.
func (h *Herald) SilentNodes() []string {
	nodes := h.fleet().Nodes()
	now := h.clk.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for i := range nodes {
		if name := nodes[i].Name; name != h.self.Name && now.Sub(h.heard[name]) > silentAfter {
			out = append(out, name)
		}
	}
	if 2*len(out) >= len(nodes) {
		return nil
	}
	return out
}

func (h *Herald) hurry() {
	select {
	case h.now <- struct{}{}:
	default:
	}
}

func (h *Herald) send(ctx context.Context) error {
	for ctx.Err() == nil {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-h.now:
			urgent = true
		case <-h.clk.After(every):
		}
		h.tell(urgent)
	}
	return nil
}

// tell sends one message to each node that is to have one. In a small fleet
// that is everyone. In a large one the hubs get it, which tell everyone the sum
// in turn; only what is urgent goes to everyone directly.
func (h *Herald) tell(urgent bool) {
	fleet := h.fleet()
	nodes := fleet.Nodes()
	m := h.message()
	hub := fleet.IsAggregator(h.self.Name)
	mesh := fleet.FullMesh()
	h.round++
	total := !mesh && hub && (urgent || h.round%hubRounds == 0)
	var sum *Message
	if total {
		copied := *m
		copied.Aggregated = true
		copied.Silent = h.SilentNodes()
		copied.Loads, copied.Placements = h.sum.total(h.clk.Now(), m.Loads, m.Placements)
		if fleet.Aggregators()[0].Name != h.self.Name {
			copied.Placements = nil // once is enough
		}
		sum = &copied
	}
	for i := range nodes {
		n := &nodes[i]
		switch {
		case n.Name == h.self.Name:
		case mesh, urgent && !total, fleet.IsAggregator(n.Name) && !total:
			h.post(n, m)
		case total:
			h.post(n, sum)
			if fleet.IsAggregator(n.Name) {
				h.post(n, m)
			}
		}
	}
}

func (h *Herald) post(n *traffic.Node, m *Message) {
	h.mu.Lock()
	m.Echo, m.EchoBoot = h.echoes[n.Name].stamp, h.echoes[n.Name].boot
	h.mu.Unlock()
	m.Stamp = int64(h.boot.Elapsed())
	h.failure(n.Name, h.Send(n.Peer, kindMessage, m))
}

// Handle names who takes datagrams of a kind. It is called before Run.
func (h *Herald) Handle(kind Kind, take Handler) { h.questions[kind] = take }

// Send sends a datagram to the address of a node.
func (h *Herald) Send(address string, kind Kind, v any) error {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Annotatef(err, "address %q of a node", address)
	}
	b, err := encode(kind, v)
	if err == nil {
		_, err = h.conn.WriteToUDP(b, addr)
	}
	return errors.Trace(err)
}

// failure logs the change between a peer that can be sent to and one that
// can't.
func (h *Herald) failure(peer string, err error) {
	h.mu.Lock()
	was := h.failed[peer]
	h.failed[peer] = err != nil
	h.mu.Unlock()
	switch {
	case err != nil && !was:
		h.log.WithError(err).WithFields(logrus.Fields{"event": "peerLost", "peer": peer}).Info("messages to the peer fail")
	case err == nil && was:
		h.log.WithFields(logrus.Fields{"event": "peerBack", "peer": peer}).Info("messages to the peer leave again")
	}
}

func (h *Herald) message() *Message {
	m := &Message{From: h.self.Name, Boot: h.self.BootID, ProofMS: -1}
	h.local.Fill(m)
	now := h.clk.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	m.Leaving = h.leaving
	kept := h.closed[:0]
	for _, c := range h.closed {
		if now.Before(c.until) && now.Sub(c.told) < eventMemory {
			kept = append(kept, c)
			m.Suspensions = append(m.Suspensions, Suspension{Upstream: c.upstream, ForMS: c.until.Sub(now).Milliseconds()})
		}
	}
	h.closed = kept
	done := h.done[:0]
	for _, u := range h.done {
		if now.Sub(u.told) < eventMemory {
			done = append(done, u)
			m.Upgrades = append(m.Upgrades, u.Upgrade)
		}
	}
	h.done = done
	m.Suspensions = m.Suspensions[max(0, len(m.Suspensions)-mostEvents):]
	m.Upgrades = m.Upgrades[max(0, len(m.Upgrades)-mostEvents):]
	return m
}

func (h *Herald) receive(ctx context.Context) error {
	buf := make([]byte, readBytes)
	for {
		n, from, err := h.conn.ReadFromUDP(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			h.failure("", err)
			continue
		case n == 0:
			continue
		}
		if err := h.take(Kind(buf[0]), from.String(), buf[1:n]); err != nil {
			h.log.WithError(err).WithField("event", "peerUnreadable").Debug("a datagram is passed over")
		}
	}
}

func (h *Herald) take(kind Kind, from string, body []byte) error {
	if take, ok := h.questions[kind]; ok {
		return take(from, body)
	}
	if kind != kindMessage {
		return errors.NotSupportedf("datagram of kind %d", kind)
	}
	var m Message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return errors.Trace(err)
	}
	if m.From == h.self.Name {
		return nil
	}
	h.mu.Lock()
	h.echoes[m.From] = echo{stamp: m.Stamp, boot: m.Boot}
	h.heard[m.From] = h.clk.Now()
	h.mu.Unlock()
	if fleet := h.fleet(); !m.Aggregated && !fleet.FullMesh() && fleet.IsAggregator(h.self.Name) {
		h.sum.add(h.clk.Now(), &m)
	}
	if m.EchoBoot != h.self.BootID {
		m.Echo = 0
	}
	h.local.Receive(&m)
	return nil
}

// encode writes structs as arrays: names of fields would triple a message.
func encode(kind Kind, m any) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte(byte(kind))
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}
