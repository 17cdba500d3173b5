package checker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
)

// Guards against a soak that overlooks GONE.
func TestLeft(t *testing.T) {
	at := time.Unix(100, 0)
	for _, c := range []struct {
		late, inTime, want int
	}{{4, 0, 1}, {3, 20, 0}, {0, 20, 0}} {
		h := &checker.History{}
		for i := range c.late + c.inTime {
			id, started := fmt.Sprint(i), at.Add(600*time.Millisecond)
			if i >= c.late {
				started = at.Add(400 * time.Millisecond)
			}
			h.Left = append(h.Left, checker.Left{ID: id, At: at})
			h.Runs = append(h.Runs, checker.Run{ID: id, Upstream: "u", StartedAt: started})
		}
		if got := checker.New(checker.Bounds{}).Check(h); len(got) != c.want || c.want > 0 && got[0].Rule != "gone" {
			t.Errorf("%d late: %v", c.late, got)
		}
	}
}
