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
	// The published views keep a reference to the old slice.
	versions = append(versions[:len(versions):len(versions)], relayer.ModelVersion{Version: w.Version, AnnouncedAt: since})
	o.weights[w.Model] = versions[max(0, len(versions)-maxVersions):]
	o.log.WithFields(logrus.Fields{"event": "weightsNamed", "model": w.Model, "version": w.Version}).Info("new weights announced")
}

// storedVersions returns the versions up to w with the announcement times in
// the store, for a node that has just started. Clocks of nodes may differ, so
// ReceiveAnnouncement replaces these times if a peer reports a greater age.
func (o *Observer) storedVersions(w *traffic.Weights) []relayer.ModelVersion {
	now := o.clk.Now()
	var out []relayer.ModelVersion
	for _, k := range o.items {
		n, ok := k.record.(*traffic.Announcements)
		if !ok || n.Model != w.Model {
			continue
		}
		for _, x := range n.Announcements {
			if age := max(0, now.Round(0).Sub(x.At)); x.Version <= w.Version {
				out = append(out, relayer.ModelVersion{Version: x.Version, AnnouncedAt: now.Add(-age)})
			}
		}
	}
	return out
}

// ReceiveAnnouncement handles a peer's report of how long ago weights were
// announced. After a restart, a node finds only the newest version in the
// store.
func (o *Observer) ReceiveAnnouncement(model string, version int, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.clk.Now().Add(-age)
	old := o.weights[model]
	if len(old) == 0 || version > old[len(old)-1].Version {
		return // the next read of the store adds this version
	}
	versions := append([]relayer.ModelVersion(nil), old...)
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Version >= version })
	switch {
	case versions[i].Version != version && len(versions) < maxVersions:
		versions = slices.Insert(versions, i, relayer.ModelVersion{Version: version, AnnouncedAt: since})
	case versions[i].Version == version && since.Before(versions[i].AnnouncedAt.Add(-minAgeDifference)):
		versions[i].AnnouncedAt = since
	default:
		return
	}
	o.weights[model] = versions
	o.publish()
}
