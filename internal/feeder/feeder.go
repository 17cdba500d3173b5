package feeder

import (
	"bytes"
	"compress/flate"
	"sync"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/limitreader"
	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Transport sends datagrams to other nodes and dispatches received ones.
type Transport interface {
	Send(address string, kind broadcaster.Kind, v any) error
	Handle(kind broadcaster.Kind, handler broadcaster.Handler)
}

// Snapshot is the node's view of the store.
type Snapshot interface {
	// Generation changes whenever the result of ChangesSince may.
	Generation() uint64
	ChangesSince(revision uint64) observer.Changes
	OperatorPrefix() string
	ReceiveChanges(reader string, c observer.Changes)
}

// request asks for the changes after the revision Since.
type request struct {
	From  string // name of the asking node
	Since uint64
}

type response struct {
	From string
	// Compressed is the observer.Changes, encoded and compressed.
	Compressed []byte
}

// maxResponseBytes is the size of the compressed changes that fit into a datagram.
const maxResponseBytes = 60 << 10

// maxChangesBytes bounds the changes once decompressed.
const maxChangesBytes = 4 << 20

// Feeder requests changes from store readers and answers the requests of other nodes.
// Datagrams may be lost: a node that still differs from the next digest asks again.
type Feeder struct {
	log       logrus.FieldLogger
	self      string
	roster    func() *roster.Roster
	transport Transport
	local     Snapshot

	mu sync.Mutex
	// responses are the encoded responses for the current snapshot, by Since. Most
	// nodes ask for the same changes.
	responses map[uint64][]byte
	// generation is that of the snapshot.
	generation uint64
}

// New returns the Feeder of the node with the name self, and registers its handlers.
func New(log logrus.FieldLogger, self string, fleet func() *roster.Roster, transport Transport, local Snapshot) *Feeder {
	f := &Feeder{log: log, self: self, roster: fleet, transport: transport, local: local, responses: map[uint64][]byte{}}
	transport.Handle(broadcaster.ChangesRequest, f.handleRequest)
	transport.Handle(broadcaster.ChangesResponse, f.handleResponse)
	return f
}

// Request implements observer.ChangeSource.
func (f *Feeder) Request(reader string, since uint64) bool {
	node, ok := f.roster().Find(reader)
	if !ok || node.Protocol < traffic.ProtocolChanges {
		return false
	}
	if err := f.transport.Send(node.Peer, broadcaster.ChangesRequest, &request{From: f.self, Since: since}); err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"event": "changesNotRequested", "peer": reader}).
			Info("failed to request changes from a store reader; reading the store instead")
		return false
	}
	return true
}

func (f *Feeder) handleRequest(from string, body []byte) error {
	var r request
	if err := packer.New(body).Unpack(&r); err != nil {
		return errors.Annotate(err, "request for changes")
	}
	compressed, err := f.compressedChanges(r.Since)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.transport.Send(from, broadcaster.ChangesResponse, &response{From: f.self, Compressed: compressed}))
}

// compressedChanges returns the changes after a revision, encoded and compressed. It
// omits what operators wrote if it is too large for a datagram.
func (f *Feeder) compressedChanges(since uint64) ([]byte, error) {
	generation := f.local.Generation() // read first: the changes are then at least as new
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.generation {
		clear(f.responses)
		f.generation = generation
	}
	if b, ok := f.responses[since]; ok {
		return b, nil
	}
	c := f.local.ChangesSince(since)
	b, err := compress(&c)
	if err == nil && len(b) > maxResponseBytes {
		c = c.WithoutOperators(f.local.OperatorPrefix())
		b, err = compress(&c)
	}
	if err != nil {
		return nil, err
	}
	f.responses[since] = b
	return b, nil
}

func compress(c *observer.Changes) ([]byte, error) {
	raw, err := packer.Pack(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

func decompress(b []byte) (observer.Changes, error) {
	var c observer.Changes
	r := flate.NewReader(bytes.NewReader(b))
	raw, err := limitreader.ReadAll(r, maxChangesBytes)
	if err != nil {
		return c, errors.Trace(err)
	}
	return c, packer.New(raw).Unpack(&c)
}

func (f *Feeder) handleResponse(_ string, body []byte) error {
	var r response
	if err := packer.New(body).Unpack(&r); err != nil {
		return errors.Annotate(err, "changes")
	}
	c, err := decompress(r.Compressed)
	if err != nil {
		return errors.Annotate(err, "changes")
	}
	f.local.ReceiveChanges(r.From, c)
	return nil
}
