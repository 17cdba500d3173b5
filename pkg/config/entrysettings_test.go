package config_test

import (
	"math"
	"slices"
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/config"
)

func TestEntrySettings(t *testing.T) {
	good := config.EntrySettings{
		Name: "n", DataCentre: "a", CallerListen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2", DirectoryListen: "127.0.0.1:3",
		PeerListen: "127.0.0.1:4", Store: "127.0.0.1:5", MemoryMB: 100,
	}
	if p := good.Check(); len(p) != 0 {
		t.Fatalf("valid settings have problems: %v", p)
	}
	d := good.WithDefaults()
	if d.RevokeMS != 5000 || d.RetryRatio != 0.2 || d.GraceSeconds != 8 || d.ProcessorShare != 1 || d.LogLevel != "info" {
		t.Errorf("unexpected defaults: %+v", d)
	}
	bad := good
	bad.Name, bad.CallerListen, bad.Store, bad.MemoryMB, bad.OrderGapMS = "", "somewhere", "10.0.0.1", 0, -1
	want := map[string]bool{"name": true, "callerListen": true, "store": true, "memoryMB": true, "orderGapMS": true}
	for _, p := range bad.Check() {
		if !want[p.Field] || p.Remedy == "" {
			t.Errorf("unexpected problem %v", p)
		}
		delete(want, p.Field)
	}
	for field := range want {
		t.Errorf("no problem reported for %s", field)
	}
}

// Guards against a share of hedged attempts that the retry budget doesn't cover, and
// against hedging that nobody has enabled.
func TestHedgeShareIsBoundedAndOffByDefault(t *testing.T) {
	if share := (config.EntrySettings{}).WithDefaults().HedgeShare; share != 0 {
		t.Errorf("the default is %v", share)
	}
	for share, valid := range map[float64]bool{0: true, 0.05: true, 0.2: true, 0.21: false, -0.01: false, math.Inf(1): false, math.NaN(): false} {
		reported := slices.ContainsFunc(config.EntrySettings{HedgeShare: share}.Check(), func(p config.Problem) bool {
			return p.Field == "hedgeShare" && p.Remedy != ""
		})
		if reported == valid {
			t.Errorf("share %v: problem reported %t", share, reported)
		}
	}
}
