package front

import (
	"net/http"
	"strings"

	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// entries responds with the addresses of the entry nodes that serve the caller's
// workspace, the preferred one first.
func (f *Front) entries(w http.ResponseWriter, r *http.Request) {
	name, weight := "", 1
	if c := f.config.Current(); c != nil {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ws, ok := c.Workspace(key); ok {
			name, weight = ws.Name, ws.Weight
		}
	}
	nodes := f.selector.Select(f.members.Live(), name, weight)
	out := wire.Entries{KeepSeconds: f.limits.EntrySeconds, Entries: make([]wire.Entry, 0, len(nodes))}
	for _, n := range nodes {
		out.Entries = append(out.Entries, wire.Entry{Name: n.Name, Address: n.Entry, DataCentre: n.DataCentre})
	}
	writeJSON(w, http.StatusOK, out)
}
