package orderer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/orderer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against a late write of older weights by the operator, over newer ones: nodes that
// start afterwards knew only the older ones, and engines were brought back to them.
func TestLateWriteOfOlderWeightsIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.store.Set("weights", "3")
		obs, stop := f.start("a")
		f.until("the orders", func() bool { return len(f.ups.list()) >= 12 })
		f.store.Set("weights", "2")
		f.pass(2 * time.Second)
		if w := obs.Snapshot().Weights; len(w) != 1 || w[0].Version != 3 {
			t.Errorf("weights on the running node are %v, want version 3", w)
		}
		later, _ := f.start("b")
		stop()
		f.until("the view", func() bool { v := later.View(); return v != nil && len(v.Versions["m"]) > 0 })
		if v := later.View().Versions["m"]; v[len(v)-1].Version != 3 {
			t.Errorf("versions on the node that started later are %v, want 3 as the newest", v)
		}
		f.store.Set("up/late", "")
		f.until("the order of b", func() bool { return f.ups.versions()["up/late@0"] != 0 })
		for inc, v := range f.ups.versions() {
			if v != 3 {
				t.Errorf("engine %s has version %d, want 3", inc, v)
			}
		}
	})
}

// Guards against a node that has started in time to read the older weights, and never learns
// of the newer ones that only the leader knows.
func TestNodeLearnsOfWeightsFromLeadersRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		obs, _ := f.start("a")
		f.until("the view", func() bool { v := obs.View(); return v != nil && len(v.Versions["m"]) == 1 })
		f.store.Set(orderer.AnnouncementsPrefix+"m", packed(t, []traffic.Announcement{{Version: 2, At: f.clk.Now()}, {Version: 3, At: f.clk.Now()}}))
		f.until("version 3", func() bool { v := obs.View().Versions["m"]; return v[len(v)-1].Version == 3 })
		f.until("the orders", func() bool { return len(f.ups.list()) >= 12 })
		f.until("version 3 on all engines", func() bool {
			for _, v := range f.ups.versions() {
				if v != 3 {
					return false
				}
			}
			return true
		})
	})
}
