package sharder_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/sharder"
)

func addresses(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.0.%d:80", i))
	}
	return out
}

// The sessions of a large fleet don't fit into one cache store: each of six takes a
// sixth of them.
func TestSessionsSpreadOverStores(t *testing.T) {
	const sessions, stores = 6000, 6
	s := sharder.New(addresses(stores))
	count := map[string]int{}
	for i := range sessions {
		count[s.Pick(xxhash.Sum64String(fmt.Sprint("session", i)))]++
	}
	for addr, n := range count {
		if n < sessions/stores*8/10 || n > sessions/stores*12/10 {
			t.Errorf("%s gets %d of %d sessions", addr, n, sessions)
		}
	}
	if len(count) != stores {
		t.Errorf("%d stores are used, want %d", len(count), stores)
	}
}

func TestOnlySessionsOfChangedStoreMove(t *testing.T) {
	before, after := sharder.New(addresses(6)), sharder.New(addresses(5))
	for i := range 3000 {
		h := xxhash.Sum64String(fmt.Sprint("session", i))
		if a, b := before.Pick(h), after.Pick(h); a != b && a != "10.0.0.5:80" {
			t.Fatalf("session %d moved from %s to %s", i, a, b)
		}
	}
	if got := sharder.New(nil).Pick(1); got != "" {
		t.Errorf("without stores, %q is picked", got)
	}
}
