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

// New returns the Scoper of a configuration with the given workspaces. past are names of
// workspaces that were isolated in earlier configurations.
//
// The shared scope is named after the set of isolated workspaces, so that it holds no
// part of theirs: whoever uses a scope isn't in its set. That holds for nodes that learn of
// a change at different times. Past names stay in the set until the configuration lists
// them as shared; otherwise, once an isolated workspace is removed, others would find what
// it had shared before its isolation.
func New(workspaces []traffic.Workspace, past []string) Scoper {
	var isolated []string
	listed := make(map[string]bool, len(past))
	for _, name := range past {
		listed[name] = false
	}
	for i := range workspaces {
		name := workspaces[i].Name
		if workspaces[i].Isolated {
			isolated = append(isolated, name)
		}
		if _, ok := listed[name]; ok {
			listed[name] = true
		}
	}
	for name, ok := range listed {
		if !ok {
			isolated = append(isolated, name)
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
