package front

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// entriesPerWorkspace is how many nodes serve a workspace, for each unit of
// its weight; fewer nodes know its prefixes better.
const entriesPerWorkspace = 2

// entries tells a caller which addresses to use: a small stable subset of the
// nodes for each workspace, those of this data centre first, no leaving node.
func (f *Front) entries(w http.ResponseWriter, r *http.Request) {
	name, weight := "", 1
	if c := f.config.Current(); c != nil {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ws, ok := c.Workspace(key); ok {
			name, weight = ws.Name, ws.Weight
		}
	}
	nodes := subset(f.members.Live(), name, entriesPerWorkspace+weight-1)
	order(nodes, f.settings.DataCentre)
	out := wire.Entries{KeepSeconds: f.limits.EntrySeconds, Entries: make([]wire.Entry, 0, len(nodes))}
	for _, n := range nodes {
		out.Entries = append(out.Entries, wire.Entry{Name: n.Name, Address: n.Entry, DataCentre: n.DataCentre})
	}
	writeJSON(w, http.StatusOK, out)
}

// subset returns the n live nodes that rendezvous hashing gives a workspace.
func subset(live []member.Info, workspace string, n int) []member.Info {
	var nodes []member.Info
	for _, m := range live {
		if m.State == member.Alive {
			nodes = append(nodes, m)
		}
	}
	score := func(i int) uint64 { return xxhash.Sum64String(nodes[i].Name + "/" + workspace) }
	scores := make(map[string]uint64, len(nodes))
	for i := range nodes {
		scores[nodes[i].Name] = score(i)
	}
	sort.Slice(nodes, func(i, j int) bool { return scores[nodes[i].Name] > scores[nodes[j].Name] })
	return nodes[:min(n, len(nodes))]
}

// order puts the nodes of a data centre first and shuffles within, so that
// callers who take the first spread out.
func order(nodes []member.Info, dataCentre string) {
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	sort.SliceStable(nodes, func(i, j int) bool {
		return nodes[i].DataCentre == dataCentre && nodes[j].DataCentre != dataCentre
	})
}
