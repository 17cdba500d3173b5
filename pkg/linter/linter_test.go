package linter_test

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/linter"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Guards against a burst at the bound that counts as too small, and against findings on
// workspaces without a limit.
func TestCheckRate(t *testing.T) {
	for _, c := range []struct {
		perSecond, burst float64
		want             linter.Code
	}{
		{0, 0, ""},
		{0, 5, ""},
		{-1, 0, ""},
		{18000, 18000, ""},
		{18000, 1800, ""},
		{18000, 1799, linter.BurstTooSmall},
		{18000, 0, linter.RateWithoutBurst},
		{0.5, 0.04, linter.BurstTooSmall},
		{math.Inf(1), 1, linter.BurstTooSmall},
	} {
		if code, text := linter.CheckRate(c.perSecond, c.burst); code != c.want || (text == "") != (code == "") {
			t.Errorf("rate %g, burst %g: %q %q, want %q", c.perSecond, c.burst, code, text, c.want)
		}
	}
}

// largeView is a catalog of 22,000 workspaces with rate limits.
func largeView() linter.View {
	c := &traffic.Catalog{
		Version: 1, Limits: traffic.Limits{HeaderBytes: 1, BodyBytes: 1}, Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{Host: "h", Prefix: "/", Kind: traffic.Safe, Targets: []traffic.Target{{Service: "s", Weight: 1}}}},
	}
	for i := range 22_000 {
		c.Workspaces = append(c.Workspaces, traffic.Workspace{Name: "w" + strconv.Itoa(i), Keys: []string{fmt.Sprintf("%032d", i)}})
	}
	return linter.View{Catalog: c, Rate: func(int) (perSecond, burst float64) { return 18000, 18000 }}
}

func BenchmarkCheck(b *testing.B) {
	v := largeView()
	b.ReportAllocs()
	for b.Loop() {
		if f, _ := linter.Check(v, 20); len(f) > 0 {
			b.Fatalf("findings on a clean catalog: %+v", f)
		}
	}
}
