package testlib_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// Guards against a late node that is excused: time in which a test only waits isn't a pause
// of its process.
func TestWaitIsNoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, start := testlib.WatchPauses(t), time.Now()
		time.Sleep(10 * time.Second)
		if d := p.Since(start); d != 0 {
			t.Errorf("process paused for %v, want none", d)
		}
	})
}
