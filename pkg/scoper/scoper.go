// Package scoper decides which workspaces share cached parts of prompts. Upstreams find
// a cached part only under the cache scope it was made under.
package scoper

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strconv"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// ownPrefix, sharedPrefix and membersPrefix keep the scope of an isolated workspace
	// apart from the shared ones, whatever its name is, and both kinds of these from each
	// other.
	ownPrefix     = "="
	sharedPrefix  = "~"
	membersPrefix = "^"
	// unprovenScope is used by requests without a workspace only.
	unprovenScope = "-"
	// digestBytes is the length of the digest in the name of a shared scope.
	digestBytes = 8
)

// History is what a node knows of the configurations before the one in force.
type History struct {
	// Epoch is the ID of the epoch for which Past is kept.
	Epoch uint64
	// Past are the names of workspaces that were isolated during the epoch.
	Past []string
	// Complete is set if Past lacks no name that the configuration in force doesn't isolate.
	Complete bool
	// Members is the digest of the workspaces that have shared parts since the epoch began;
	// empty if these have changed.
	Members string
}

// Equal reports whether h and other are the same.
func (h History) Equal(other History) bool {
	return h.Epoch == other.Epoch && h.Complete == other.Complete && h.Members == other.Members && slices.Equal(h.Past, other.Past)
}

// Scoper returns the cache scopes of one configuration. It is an immutable value.
type Scoper struct{ shared string }

// New returns the Scoper of a configuration with the given workspaces. There are two names for the
// shared scope, neither of which holds a part of a workspace that is isolated while it is used:
//
//   - One has the workspaces that use the scope. It needs no history, but each workspace that
//     is added or removed makes all shared parts cold. It serves until that happens in an
//     epoch, and whenever the history isn't complete.
//   - The other has the epoch and the workspaces that were isolated in it and aren't listed as
//     shared. A workspace in that set never uses the scope.
//
// Both hold for nodes that learn of a change at different times.
func New(workspaces []traffic.Workspace, h History) Scoper {
	if members := Members(workspaces); !h.Complete || h.Members == members {
		return Scoper{shared: membersPrefix + members}
	}
	return Scoper{shared: sharedPrefix + digest(h.Epoch, excluded(workspaces, h.Past))}
}

// Members returns the digest of the workspaces that aren't isolated.
func Members(workspaces []traffic.Workspace) string { return digest(0, sharing(workspaces)) }

// sharing returns the names of the workspaces that aren't isolated.
func sharing(workspaces []traffic.Workspace) []string {
	var names []string
	for i := range workspaces {
		if !workspaces[i].Isolated {
			names = append(names, workspaces[i].Name)
		}
	}
	return names
}

// excluded returns the names of the workspaces that are isolated, and those in past that
// aren't listed.
func excluded(workspaces []traffic.Workspace, past []string) []string {
	var names []string
	listed := make(map[string]bool, len(past))
	for _, name := range past {
		listed[name] = false
	}
	for i := range workspaces {
		name := workspaces[i].Name
		if workspaces[i].Isolated {
			names = append(names, name)
		}
		if _, ok := listed[name]; ok {
			listed[name] = true
		}
	}
	for name, ok := range listed {
		if !ok {
			names = append(names, name)
		}
	}
	return names
}

func digest(epoch uint64, names []string) string {
	slices.Sort(names)
	h := sha256.New()
	_, _ = io.WriteString(h, strconv.FormatUint(epoch, 10)) // a hash returns no error
	for _, name := range slices.Compact(names) {
		_, _ = io.WriteString(h, strconv.Quote(name))
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Scope returns the cache scope of a workspace, or of a request without one if w is nil.
func (s Scoper) Scope(w *traffic.Workspace) string {
	if w != nil && w.Isolated {
		return ownPrefix + w.Name
	}
	return s.shared
}

// Unproven returns the cache scope of requests without a workspace on a node whose configuration
// may be out of date. A workspace that is isolated by now has made no part in it.
func (s Scoper) Unproven() string { return unprovenScope }
