package permitter_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/permitter"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

var now = time.Unix(1_800_000_000, 0)

// Guards against two nodes that ask at the same moment and both run the suspect.
func TestOnlyOneOfTwoNodesIsPermitted(t *testing.T) {
	p := permitter.New(10)
	first, second := p.Holder(now, 1), p.Holder(now, 1)
	if !p.Grant(now, 1, first, "a") {
		t.Error("the first node isn't permitted")
	}
	if p.Grant(now, 1, second, "b") {
		t.Error("the second node is permitted, though the holder has changed since it asked")
	}
	if got := p.Holder(now, 1); got != "a" {
		t.Errorf("holder %q, want a", got)
	}
	if !p.Grant(now, 1, "a", "b") || p.Holder(now, 1) != "b" {
		t.Error("the second node isn't permitted after the first")
	}
}

func TestPermitsAreBounded(t *testing.T) {
	const limit = 10
	p := permitter.New(limit)
	for f := range quarantiner.Fingerprint(2 * limit) {
		p.Grant(now.Add(time.Duration(f)*time.Second), f, "", "a")
	}
	for f := range quarantiner.Fingerprint(2 * limit) {
		if kept := p.Holder(now.Add(time.Minute), f) != ""; kept != (f >= limit) {
			t.Errorf("permission %d kept: %t", f, kept)
		}
	}
	if got := p.Holder(now.Add(time.Hour), 2*limit-1); got != "" {
		t.Errorf("holder after an hour: %q", got)
	}
}
