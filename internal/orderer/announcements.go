package orderer

import (
	"context"
	"math"
	"strings"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// AnnouncementsPrefix is the prefix of the keys under which the leader stores
// the announcement times of weights, for nodes that start while no other node
// can report them.
const AnnouncementsPrefix = "auburnnotch/named/"

// maxAnnouncements bounds the stored announcements of a model. It exceeds the
// number of versions that may apply within the time that older weights are
// allowed.
const maxAnnouncements = 8

// DecodeAnnouncements decodes the announcements of a model. With an error, it returns
// none of them but their revision, so that they can be replaced.
func DecodeAnnouncements(it platform.Item) (*traffic.Announcements, error) {
	n := &traffic.Announcements{Model: strings.TrimPrefix(it.Key, AnnouncementsPrefix), Revision: it.Revision}
	var list []traffic.Announcement
	if err := packer.New(it.Value).Unpack(&list); err != nil {
		return n, errors.Annotate(err, "decode announcements of weights")
	}
	for i, a := range list {
		if a.Version < 1 || a.Version > math.MaxInt32 || i > 0 && a.Version <= list[i-1].Version {
			return n, errors.NotValidf("announcements of weights with version %d", a.Version)
		}
	}
	n.Announcements = list
	return n, nil
}

// writeAnnouncements writes announcements that the store doesn't have yet.
func (o *Orderer) writeAnnouncements(ctx context.Context) {
	snapshot := o.obs.Snapshot()
	view := o.obs.View()
	if view == nil || o.clk.Now().Before(o.nextAnnouncementWrite) {
		return
	}
	for model, versions := range view.Versions {
		written := traffic.Announcements{}
		for _, n := range snapshot.Announcements {
			if n.Model == model {
				written = n
			}
		}
		newest := 0
		if k := len(written.Announcements); k > 0 {
			newest = written.Announcements[k-1].Version
		}
		if versions[len(versions)-1].Version <= newest {
			continue
		}
		next := append([]traffic.Announcement(nil), written.Announcements...)
		for _, w := range versions {
			if w.Version > newest {
				next = append(next, traffic.Announcement{Version: w.Version, At: w.AnnouncedAt.Round(0)})
			}
		}
		o.commitAnnouncements(ctx, AnnouncementsPrefix+model, written.Revision, next[max(0, len(next)-maxAnnouncements):])
		// Waits for a read of the store before the next write, which would
		// conflict otherwise.
		o.nextAnnouncementWrite = o.clk.Now().Add(announcementWriteInterval)
	}
}

func (o *Orderer) commitAnnouncements(ctx context.Context, key string, revision uint64, announcements []traffic.Announcement) {
	value, err := msgpack.Marshal(announcements)
	if err == nil {
		_, err = o.store.Commit(ctx, platform.LineOrders, platform.Txn{
			Expect: []platform.Expectation{{Key: key, Revision: revision}}, Put: []platform.Put{{Key: key, Value: value}},
		})
	}
	if err != nil {
		o.log.WithError(err).WithFields(logrus.Fields{"event": "namingUnwritten", "key": key}).Info("failed to store announcements; will retry")
	}
}
