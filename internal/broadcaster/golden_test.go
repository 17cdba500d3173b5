package broadcaster_test

import (
	"reflect"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/packer"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
)

// Nodes of two releases run side by side during each upgrade.
func TestMessageOfProtocolOne(t *testing.T) {
	m := broadcaster.Message{
		From: "n1", BootID: 1, SentAt: 2, Echo: 3, EchoBootID: 4, ConfigVersion: 5, ProofAgeMS: 6, Leaving: true, Aggregated: true, StoreReader: true,
		LatestConfig: 7, CacheStoreDown: true, Revision: 8, Hash: 9,
		Report: placer.Report{
			Loads:   []placer.Load{{Upstream: 10, Running: 11, PrefillTokens: 12, MemoryTokens: 13, Pinned: 14, OldestWaitMS: 15, ActivityAgeMS: 16}},
			Settled: 17, Tripped: []uint32{18},
		},
		Placements:    []placer.Placement{{Upstream: 19, Version: 20, Cached: true, Prefix: 21}},
		SilentNodes:   []string{"n2"},
		Announcements: []broadcaster.Announcement{{Model: "m", Version: 22, AgeMS: 23}},
		Suspensions:   []broadcaster.Suspension{{Upstream: 24, DurationMS: 25}},
		Upgrades:      []broadcaster.Upgrade{{Upstream: 26, Model: "m", Version: 27}},
	}
	b, err := packer.Pack(&m)
	if err != nil {
		t.Fatal(err)
	}
	var got broadcaster.Message
	if err := packer.New(testlib.Golden(t, "protocol-1-message", b)).Unpack(&got); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, error %v", got, err)
	}
}
