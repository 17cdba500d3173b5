// Package follower implements the state machine with which a node follows the
// configuration that operators submit. It accepts a document from the platform
// or from any peer, but only with a higher revision than the one in force. It
// does no I/O.
package follower

// Document is a submitted configuration. Revision counts submissions. It is
// part of the stored value, so that it survives a platform that lost its data.
type Document struct {
	Revision uint64 `json:"revision" msgpack:"r"`
	// Nonce is unique for each submission. After a lost response it shows whether
	// the submission was stored or another one came first.
	Nonce string `json:"nonce" msgpack:"n"`
	// Declaration is a config.Declaration as JSON.
	Declaration []byte `json:"declaration" msgpack:"d"`
}

// Event is an input of the state machine.
type Event interface{ event() }

// PlatformDocument is the state of the configuration key on the platform.
// Document is zero if the key is absent. Version is the platform's version of
// the key.
type PlatformDocument struct {
	Document Document
	Version  uint64
}

// PeerDocument is a document received from another node.
type PeerDocument struct{ Document Document }

// PeerRevision is the revision that another node reports as in force.
type PeerRevision struct {
	Peer     string
	Revision uint64
}

func (PlatformDocument) event() {}
func (PeerDocument) event()     {}
func (PeerRevision) event()     {}

// Action is an output of the state machine.
type Action interface{ action() }

// Apply puts a document in force and sends it to peers.
type Apply struct{ Document Document }

// Pull requests the document of a peer.
type Pull struct{ Peer string }

// Restore writes the document in force to a platform that has an older one, by
// compare-and-swap on Version.
type Restore struct {
	Document Document
	Version  uint64
}

// ReportRefused reports a refused document to operators.
type ReportRefused struct {
	Refused Document
	InForce uint64
	Reason  string
}

func (Apply) action()         {}
func (Pull) action()          {}
func (Restore) action()       {}
func (ReportRefused) action() {}

// Follower is the state machine of one node. It is not safe for concurrent use.
type Follower struct {
	doc     Document
	actions []Action
}

// New returns a Follower without a document in force.
func New() *Follower { return &Follower{} }

// Revision returns the revision in force, or 0 if there is none.
func (f *Follower) Revision() uint64 { return f.doc.Revision }

// Document returns the document in force.
func (f *Follower) Document() Document { return f.doc }

// Handle processes an event and returns the actions to perform, in order. The
// slice is valid until the next call.
func (f *Follower) Handle(e Event) []Action {
	f.actions = f.actions[:0]
	switch e := e.(type) {
	case PlatformDocument:
		f.handlePlatformDocument(e)
	case PeerDocument:
		f.accept(e.Document)
	case PeerRevision:
		if e.Revision > f.doc.Revision {
			f.actions = append(f.actions, Pull{Peer: e.Peer})
		}
	}
	return f.actions
}

func (f *Follower) handlePlatformDocument(e PlatformDocument) {
	if e.Document.Revision < f.doc.Revision {
		f.actions = append(f.actions,
			ReportRefused{Refused: e.Document, InForce: f.doc.Revision, Reason: "platform has an older revision"},
			Restore{Document: f.doc, Version: e.Version})
		return
	}
	f.accept(e.Document)
}

// accept applies a document with a higher revision. It reports a different
// document with the revision in force.
func (f *Follower) accept(d Document) {
	switch {
	case d.Revision > f.doc.Revision:
		f.doc = d
		f.actions = append(f.actions, Apply{Document: d})
	case d.Revision == f.doc.Revision && d.Nonce != f.doc.Nonce:
		f.actions = append(f.actions, ReportRefused{Refused: d, InForce: f.doc.Revision, Reason: "another document has the same revision"})
	}
}
