// Package recorder decides which names of isolated workspaces are kept, so that a workspace
// stays isolated from the others after the configuration no longer lists it.
package recorder

import (
	"slices"

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
// record and from the configurations that were in force since the node started. It is an
// immutable value; the zero value knows none.
type Recorder struct {
	stored   []string // as recorded, oldest first
	isolated []string // in the configuration in force, sorted
	// unstored are the names of earlier configurations that the node hasn't read in the
	// record, oldest first.
	unstored []string
	dropped  []string // from unstored for lack of room, since the record last changed
}

// WithWorkspaces returns a Recorder for a configuration with the given workspaces.
func (r Recorder) WithWorkspaces(workspaces []traffic.Workspace) Recorder {
	var isolated []string
	for i := range workspaces {
		if name := workspaces[i].Name; workspaces[i].Isolated && name != "" && len(name) < maxNameBytes {
			isolated = append(isolated, name)
		}
	}
	slices.Sort(isolated)
	isolated = slices.Compact(isolated)
	unstored := without(r.unstored, isolated)
	unstored = append(unstored, without(without(r.isolated, isolated), r.stored)...)
	return Recorder{stored: r.stored, isolated: isolated, dropped: r.dropped}.withUnstored(unstored)
}

// WithRecord returns a Recorder that has read the names in the store's record. Names that
// it had read before and that are no longer there were dropped for newer ones.
func (r Recorder) WithRecord(names []string) Recorder {
	if len(names) > 0 && slices.Equal(names, r.stored) {
		return r
	}
	return Recorder{stored: names, isolated: r.isolated, unstored: without(r.unstored, names)}
}

// WithoutRecord returns a Recorder that has found no record or an unreadable one. It keeps
// the names of the record that it had read, and writes them again.
func (r Recorder) WithoutRecord() Recorder {
	names := append(without(r.stored, r.isolated), without(r.unstored, r.stored)...)
	return Recorder{isolated: r.isolated, dropped: r.dropped}.withUnstored(names)
}

func (r Recorder) withUnstored(names []string) Recorder {
	r.unstored = bounded(names)
	r.dropped = bounded(slices.Concat(r.dropped, names[:len(names)-len(r.unstored)]))
	return r
}

// Past returns the known names, except those that only the configuration in force has. The
// caller must not change them.
func (r Recorder) Past() []string {
	if len(r.unstored) == 0 {
		return r.stored
	}
	return slices.Concat(r.stored, r.unstored)
}

// Next returns what the store should keep and whether that differs from what it has.
// dropped are names for which there is no room: the oldest of those that the configuration
// doesn't isolate. Names that it does isolate may have to wait for room, since every node
// knows them anyway.
func (r Recorder) Next() (next, dropped []string, changed bool) {
	known := slices.Concat(r.stored, r.unstored, without(without(r.isolated, r.stored), r.unstored))
	past := without(known, r.isolated)
	kept := bounded(past)
	outdated := past[:len(past)-len(kept)]
	size := 0
	for _, name := range kept {
		size += len(name)
	}
	room := maxNames - len(kept)
	waiting := slices.Clone(outdated)
	for _, name := range without(known, past) {
		if size += len(name); room > 0 && size <= maxBytes {
			room--
			continue
		}
		size -= len(name)
		waiting = append(waiting, name)
	}
	next = without(known, waiting)
	return next, slices.Concat(r.dropped, outdated), !slices.Equal(next, r.stored)
}

// bounded returns the last names, as many as fit into a record.
func bounded(names []string) []string {
	size := 0
	for i := len(names) - 1; i >= 0; i-- {
		if size += len(names[i]); size > maxBytes || len(names)-i > maxNames {
			return names[i+1:]
		}
	}
	return names
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
