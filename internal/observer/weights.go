package observer

import (
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

func (o *Observer) setWeights(w *traffic.Weights, initial bool) {
	versions := o.weights[w.Model]
	if len(versions) > 0 && w.Version <= versions[len(versions)-1].Version {
		return
	}
	since := o.clk.Now()
	if initial {
		since = since.Add(-assumedAnnouncementAge)
		versions = o.storedVersions(w)
	}
	if len(versions) > 0 && versions[len(versions)-1].Version == w.Version {
		o.weights[w.Model] = versions
		return
	}
	// Views hold on to the old list.
	versions = append(versions[:len(versions):len(versions)], relayer.Weights{Version: w.Version, Known: since})
	o.weights[w.Model] = versions[max(0, len(versions)-maxVersions):]
	o.log.WithFields(logrus.Fields{"event": "weightsNamed", "model": w.Model, "version": w.Version}).Info("new weights are named")
}

// storedVersions returns what the store tells of when weights were named up to w, for
// a node that starts. Clocks of nodes may run apart, so that peers' words go
// before.
func (o *Observer) storedVersions(w *traffic.Weights) []relayer.Weights {
	now := o.clk.Now()
	var out []relayer.Weights
	for _, k := range o.items {
		n, ok := k.fact.(*traffic.Announcements)
		if !ok || n.Model != w.Model {
			continue
		}
		for _, x := range n.Announcements {
			if age := max(0, now.Round(0).Sub(x.At)); x.Version <= w.Version {
				out = append(out, relayer.Weights{Version: x.Version, Known: now.Add(-age)})
			}
		}
	}
	return out
}

// ReceiveAnnouncement takes a peer's word about how long ago weights were named. A
// node that has started since knows only the newest ones from the store.
func (o *Observer) ReceiveAnnouncement(model string, version int, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.clk.Now().Add(-age)
	old := o.weights[model]
	if len(old) == 0 || version > old[len(old)-1].Version {
		return // the store says so in a moment
	}
	versions := append([]relayer.Weights(nil), old...)
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Version >= version })
	switch {
	case versions[i].Version != version && len(versions) < maxVersions:
		versions = slices.Insert(versions, i, relayer.Weights{Version: version, Known: since})
	case versions[i].Version == version && since.Before(versions[i].Known.Add(-minAgeDifference)):
		versions[i].Known = since
	default:
		return
	}
	o.weights[model] = versions
	o.publish()
}
