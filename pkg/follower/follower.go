// Package follower is the state machine by which a node follows the operators'
// configuration: it takes higher revisions only, from whoever has them.
package follower

// Document is a submitted configuration. Revision counts submissions and
// stands inside the value, so that it survives a platform that starts anew.
type Document struct {
	Revision uint64 `json:"revision" msgpack:"r"`
	// Nonce is unique for each submission; it tells a lost reply from a race.
	Nonce string `json:"nonce" msgpack:"n"`
	// Declaration is the JSON of a config.Declaration.
	Declaration []byte `json:"declaration" msgpack:"d"`
}

// Event is an input of the machine.
type Event interface{ event() }

// PlatformDocument is the state of the key on the platform; Document is zero when
// the key is absent. Version is the platform's version of the key.
type PlatformDocument struct {
	Document Document
	Version  uint64
}

// PeerDocument is a document that another node sent.
type PeerDocument struct{ Document Document }

// PeerRevision is a revision that another node says it has.
type PeerRevision struct {
	Peer     string
	Revision uint64
}

func (PlatformDocument) event() {}
func (PeerDocument) event()     {}
func (PeerRevision) event()     {}

// Action is an output of the machine.
type Action interface{ action() }

// Apply puts a document in force and tells peers of it.
type Apply struct{ Document Document }

// Pull asks a peer for its document.
type Pull struct{ Peer string }

// Restore writes the document back to a platform that has an older one, by
// compare-and-swap on Version.
type Restore struct {
	Document Document
	Version  uint64
}

// ReportRefused tells operators of a refused document.
type ReportRefused struct {
	Refused Document
	InForce uint64
	Reason  string
}

func (Apply) action()         {}
func (Pull) action()          {}
func (Restore) action()       {}
func (ReportRefused) action() {}

// Follower is the machine. It is not safe for concurrent use.
type Follower struct {
	doc Document
	out []Action
}

// New returns a Follower that has nothing in force.
func New() *Follower { return &Follower{} }

// Revision returns the revision in force, 0 for none.
func (f *Follower) Revision() uint64 { return f.doc.Revision }

// Document returns the document in force.
func (f *Follower) Document() Document { return f.doc }

// Handle takes an event and returns the actions to carry out in order.
func (f *Follower) Handle(e Event) []Action {
	f.out = f.out[:0]
	switch e := e.(type) {
	case PlatformDocument:
		f.fromPlatform(e)
	case PeerDocument:
		f.take(e.Document)
	case PeerRevision:
		if e.Revision > f.doc.Revision {
			f.out = append(f.out, Pull{Peer: e.Peer})
		}
	}
	return f.out
}

func (f *Follower) fromPlatform(e PlatformDocument) {
	if e.Document.Revision < f.doc.Revision {
		f.out = append(f.out,
			ReportRefused{Refused: e.Document, InForce: f.doc.Revision, Reason: "platform has an older revision"},
			Restore{Document: f.doc, Version: e.Version})
		return
	}
	f.take(e.Document)
}

func (f *Follower) take(d Document) {
	switch {
	case d.Revision > f.doc.Revision:
		f.doc = d
		f.out = append(f.out, Apply{Document: d})
	case d.Revision == f.doc.Revision && d.Nonce != f.doc.Nonce:
		f.out = append(f.out, ReportRefused{Refused: d, InForce: f.doc.Revision, Reason: "another document has the same revision"})
	}
}
