// Package recorder decides which names of isolated workspaces are kept, so that a workspace
// stays isolated from the others after the configuration no longer lists it, and whether a
// node knows them all.
package recorder

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/scoper"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// maxNames and maxBytes bound the record, which must fit into the store and into a
	// datagram (16 KB with 5 bytes for the encoding of each name).
	maxNames = 256
	maxBytes = 14 << 10
	// maxNameBytes is the length from which on a name isn't kept, so that a single one
	// doesn't displace all others.
	maxNameBytes = 1 << 10
)

// Recorder holds the names of isolated workspaces that a node knows, from the store's
// record and from the configurations that it has seen since it started. It is an immutable
// value; the zero value knows none.
//
// Positions in the sequence of configurations are revisions of the store.
type Recorder struct {
	epoch    traffic.CacheEpoch // as stored
	stored   []string           // as recorded, oldest first
	isolated []string           // in the configuration in force, sorted
	// unstored are the names of earlier configurations that the node hasn't read in the
	// record, oldest first.
	unstored []string
	config   uint64 // the configuration in force
	members  string // digest of the workspaces that it doesn't isolate
	// completeTo is the position up to which the node knows all names of the epoch, 0 if
	// some may be missing at any.
	completeTo uint64
}

// Stored is what the store holds.
type Stored struct {
	Names []string
	// Readable is false if there is no list of names, or one that can't be decoded.
	Readable bool
	Epoch    traffic.CacheEpoch
}

// WithWorkspaces returns a Recorder for the configuration at a position, which has the given
// workspaces.
func (r Recorder) WithWorkspaces(config uint64, workspaces []traffic.Workspace) Recorder {
	before := r.isolated
	r.config, r.isolated, r.members = config, isolatedNames(workspaces), scoper.Members(workspaces)
	unstored := without(r.unstored, r.isolated)
	return r.withUnstored(append(unstored, without(without(before, r.isolated), r.stored)...))
}

// WithSuperseded returns a Recorder that has seen a configuration with the given workspaces
// which isn't in force any more.
func (r Recorder) WithSuperseded(workspaces []traffic.Workspace) Recorder {
	known := slices.Concat(r.isolated, r.stored, r.unstored)
	return r.withUnstored(slices.Concat(r.unstored, without(isolatedNames(workspaces), known)))
}

// Config returns the position of the configuration in force, 0 without one.
func (r Recorder) Config() uint64 { return r.config }

// WithConfigAt returns a Recorder for which the configuration in force is at a later position, with
// none that it hasn't seen in between.
func (r Recorder) WithConfigAt(config uint64) Recorder {
	if r.Complete() {
		r.completeTo = max(r.completeTo, config)
	}
	r.config = config
	return r
}

// WithHistory returns a Recorder that has seen all configurations after since up to to.
func (r Recorder) WithHistory(since, to uint64) Recorder {
	if since > 0 && r.completeTo >= since {
		r.completeTo = max(r.completeTo, to)
	}
	return r
}

// WithCompleteTo returns a Recorder for a node which has learned that it lacks no name up to
// a position.
func (r Recorder) WithCompleteTo(to uint64) Recorder {
	r.completeTo = max(r.completeTo, to)
	return r
}

// WithStored returns a Recorder that has read what the store holds. It keeps the names of its
// epoch that the store has lost, to write them again.
func (r Recorder) WithStored(s Stored) Recorder {
	if s.Epoch.ID == 0 {
		s.Epoch.ID, s.Epoch.Members = r.epoch.ID, r.epoch.Members // the record is lost
	}
	if s.Epoch.ID != r.epoch.ID {
		r.stored, r.unstored, r.completeTo = nil, nil, 0
	}
	r.epoch = s.Epoch
	if !s.Readable {
		s.Names = nil
	}
	if !slices.Equal(s.Names, r.stored) {
		lost := without(without(r.stored, s.Names), r.isolated)
		r.stored = s.Names
		r = r.withUnstored(slices.Concat(lost, without(without(r.unstored, s.Names), lost)))
	}
	if s.Epoch.Config == r.config && r.isRecorded() {
		r.completeTo = max(r.completeTo, r.config)
	}
	return r
}

// isRecorded reports whether the record of the epoch refers to the list of names.
func (r Recorder) isRecorded() bool {
	return r.epoch.ID > 0 && r.epoch.Config > 0 && r.epoch.NamesHash == hash(r.stored)
}

// withUnstored keeps names, the oldest first. Without those for which there is no room, the
// node doesn't know all names.
func (r Recorder) withUnstored(names []string) Recorder {
	r.unstored = bounded(names)
	if len(r.unstored) < len(names) {
		r.completeTo = 0
	}
	return r
}

// HasConfig reports whether a configuration is in force.
func (r Recorder) HasConfig() bool { return r.config > 0 }

// Complete reports whether the node knows all names that the configuration in force doesn't
// isolate.
func (r Recorder) Complete() bool {
	return r.epoch.ID > 0 && r.config > 0 && r.completeTo >= r.config
}

// CompleteTo returns the position up to which the node knows all names, 0 if some may be
// missing at any.
func (r Recorder) CompleteTo() uint64 { return r.completeTo }

// RecordedTo returns the position up to which all names are in the record or isolated by the
// configuration in force; 0 if that isn't so at any.
func (r Recorder) RecordedTo() uint64 {
	if len(r.unstored) > 0 || !r.Complete() {
		return 0
	}
	return r.completeTo
}

// Stores reports whether the store's list of names is names.
func (r Recorder) Stores(names []string) bool { return slices.Equal(r.stored, names) }

// History returns what the names of cache scopes depend on. The caller must not change it.
func (r Recorder) History() scoper.History {
	past := r.stored
	if len(r.unstored) > 0 {
		past = slices.Concat(r.stored, r.unstored)
	}
	return scoper.History{Epoch: r.epoch.ID, Past: past, Complete: r.Complete(), Members: r.epoch.Members}
}

// Next returns what the store should hold, and whether that differs from what it has. Nothing
// does for a node that doesn't know all names. If there isn't room for the names that the
// configuration doesn't isolate, a new epoch begins, whose ID is newID. Names that it does
// isolate may have to wait for room, since every node knows them anyway.
func (r Recorder) Next(newID uint64) (next Stored, changed bool) {
	if !r.Complete() {
		return Stored{}, false
	}
	past := without(slices.Concat(r.stored, r.unstored), r.isolated)
	if len(bounded(past)) < len(past) {
		return r.NextEpoch(newID), true
	}
	recorded := r.isRecorded()
	if !recorded && r.epoch.Config > r.config {
		return Stored{}, false // the writer of the record knows more
	}
	next = Stored{Names: r.names(past), Readable: true, Epoch: traffic.CacheEpoch{ID: r.epoch.ID, Config: r.config, Members: r.epoch.Members}}
	if recorded {
		next.Epoch.Config = max(r.epoch.Config, r.config)
	}
	if next.Epoch.Config == r.config && r.members != next.Epoch.Members {
		next.Epoch.Members = ""
	}
	next.Epoch.NamesHash = hash(next.Names)
	return next, !recorded || next.Epoch.Config != r.epoch.Config || !slices.Equal(next.Names, r.stored)
}

// NextEpoch returns what the store should hold if a new epoch begins with the configuration
// in force. It doesn't need the names of earlier ones, which stay for nodes of releases without
// epochs, if there is room.
func (r Recorder) NextEpoch(id uint64) Stored {
	past := without(slices.Concat(r.stored, r.unstored), r.isolated)
	if len(bounded(past)) < len(past) {
		r.stored, r.unstored, past = nil, nil, nil
	}
	names := r.names(past)
	return Stored{Names: names, Readable: true, Epoch: traffic.CacheEpoch{ID: id, Config: r.config, NamesHash: hash(names), Members: r.members}}
}

// names returns the names to record: those in past, and of the isolated ones as many as there
// is room for. Names that are recorded already keep their places.
func (r Recorder) names(past []string) []string {
	size, room := 0, maxNames-len(past)
	for _, name := range past {
		size += len(name)
	}
	var waiting []string
	known := slices.Concat(r.stored, r.unstored, without(without(r.isolated, r.stored), r.unstored))
	for _, name := range without(known, past) {
		if fits(name) && room > 0 && size+len(name) <= maxBytes {
			room--
			size += len(name)
			continue
		}
		waiting = append(waiting, name)
	}
	return without(known, waiting)
}

func isolatedNames(workspaces []traffic.Workspace) []string {
	var names []string
	for i := range workspaces {
		if workspaces[i].Isolated {
			names = append(names, workspaces[i].Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func fits(name string) bool { return name != "" && len(name) < maxNameBytes }

// bounded returns the last names, as many as fit into a record.
func bounded(names []string) []string {
	size := 0
	for i := len(names) - 1; i >= 0; i-- {
		if size += len(names[i]); !fits(names[i]) || size > maxBytes || len(names)-i > maxNames {
			return names[i+1:]
		}
	}
	return names
}

func hash(names []string) uint64 {
	h := xxhash.New()
	for _, name := range names {
		_, _ = h.WriteString(name) // a hash returns no error
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// without returns the names that aren't in omitted, in a new slice.
func without(names, omitted []string) []string {
	if len(names) == 0 {
		return nil
	}
	omit := make(map[string]struct{}, len(omitted))
	for _, name := range omitted {
		omit[name] = struct{}{}
	}
	var out []string
	for _, name := range names {
		if _, ok := omit[name]; !ok {
			out = append(out, name)
		}
	}
	return out
}
