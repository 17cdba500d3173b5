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
	// ownPrefix and sharedPrefix keep the scope of an isolated workspace apart from the
	// shared ones, whatever its name is.
	ownPrefix    = "="
	sharedPrefix = "~"
	// digestBytes is the length of the digest in the name of a shared scope.
	digestBytes = 8
)

// Scoper returns the cache scopes of one configuration. It is an immutable value.
type Scoper struct{ shared string }

// New returns the Scoper of a configuration with the given workspaces.
//
// The shared scope is named after the set of isolated workspaces, so that it holds no
// part of theirs: whoever uses a scope isn't in its set. That needs no memory of earlier
// configurations, and holds for nodes that learn of a change at different times.
func New(workspaces []traffic.Workspace) Scoper {
	var isolated []string
	for i := range workspaces {
		if workspaces[i].Isolated {
			isolated = append(isolated, workspaces[i].Name)
		}
	}
	if len(isolated) == 0 {
		return Scoper{}
	}
	slices.Sort(isolated)
	h := sha256.New()
	for _, name := range slices.Compact(isolated) {
		_, _ = io.WriteString(h, strconv.Quote(name)) // a hash returns no error
	}
	return Scoper{shared: sharedPrefix + hex.EncodeToString(h.Sum(nil)[:digestBytes])}
}

// Scope returns the cache scope of a workspace, or of a request without one if w is nil.
func (s Scoper) Scope(w *traffic.Workspace) string {
	if w != nil && w.Isolated {
		return ownPrefix + w.Name
	}
	return s.shared
}
