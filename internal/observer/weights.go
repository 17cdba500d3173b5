package observer

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// setWeights records announced weights. Older ones than are known stem from a write that
// was executed late.
func (o *Observer) setWeights(w *traffic.Weights, initial bool) {
	versions := o.weights[w.Model]
	if newestVersion(versions) >= w.Version {
		return
	}
	since := o.clk.Now()
	if initial {
		since = since.Add(-assumedAnnouncementAge)
		versions = o.storedVersions(w.Model)
	}
	if newestVersion(versions) >= w.Version {
		o.weights[w.Model] = versions
		return
	}
	// The published views keep a reference to the old slice.
	versions = append(versions[:len(versions):len(versions)], relayer.ModelVersion{Version: w.Version, AnnouncedAt: since})
	o.weights[w.Model] = versions[max(0, len(versions)-maxVersions):]
	o.log.WithFields(logrus.Fields{"event": "weightsNamed", "model": w.Model, "version": w.Version}).Info("new weights announced")
}

func newestVersion(versions []relayer.ModelVersion) int {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].Version
}

// addAnnouncements records weights that a leader knew and this node doesn't: a write of older
// ones that was executed late has replaced them in the store. Since clocks of nodes differ, the
// announcement counts as assumedAnnouncementAge old at most.
func (o *Observer) addAnnouncements(n *traffic.Announcements) {
	now, versions := o.clk.Now(), o.weights[n.Model]
	if len(versions) == 0 {
		return // the first read isn't complete
	}
	versions = versions[:len(versions):len(versions)] // published views refer to it
	for _, x := range n.Announcements {
		if x.Version > newestVersion(versions) {
			age := min(assumedAnnouncementAge, max(0, now.Round(0).Sub(x.At)))
			versions = append(versions, relayer.ModelVersion{Version: x.Version, AnnouncedAt: now.Add(-age)})
			o.log.WithFields(logrus.Fields{"event": "weightsNamed", "model": n.Model, "version": x.Version, "late": true}).Info("new weights found in the leader's record")
		}
	}
	o.weights[n.Model] = versions[max(0, len(versions)-maxVersions):]
}

// storedVersions returns the versions of a model with the announcement times in
// the store, for a node that has just started. Clocks of nodes may differ, so
// ReceiveAnnouncement replaces these times if a peer reports a greater age.
func (o *Observer) storedVersions(model string) []relayer.ModelVersion {
	now := o.clk.Now()
	var out []relayer.ModelVersion
	for _, k := range o.items {
		n, ok := k.record.(*traffic.Announcements)
		if !ok || n.Model != model {
			continue
		}
		for _, x := range n.Announcements {
			age := max(0, now.Round(0).Sub(x.At))
			out = append(out, relayer.ModelVersion{Version: x.Version, AnnouncedAt: now.Add(-age)})
		}
	}
	return out
}

// ReceiveAnnouncement handles a peer's report of how long ago weights were
// announced. After a restart, a node finds only one version in the store, and not the
// newest one if a write of older weights was executed late.
func (o *Observer) ReceiveAnnouncement(model string, version int, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.clk.Now().Add(-age)
	old := o.weights[model]
	if len(old) == 0 || version < 1 || version > math.MaxInt32 {
		return
	}
	versions := append([]relayer.ModelVersion(nil), old...)
	i := sort.Search(len(versions), func(i int) bool { return versions[i].Version >= version })
	switch {
	case i == len(versions):
		versions = append(versions, relayer.ModelVersion{Version: version, AnnouncedAt: since})
		versions = versions[max(0, len(versions)-maxVersions):]
		o.log.WithFields(logrus.Fields{"event": "weightsNamed", "model": model, "version": version, "late": true}).Info("a peer knows new weights")
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
