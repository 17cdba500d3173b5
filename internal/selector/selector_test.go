package selector_test

import (
	"fmt"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/selector"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

func fleet(n int) []member.Info {
	var live []member.Info
	for i := range n {
		live = append(live, member.Info{Name: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("dc-", i%4), State: member.Alive})
	}
	return live
}

func region(dc string) string {
	if dc == "dc-3" {
		return "far"
	}
	return "near"
}

// TestSelect guards against a leaving node that is still selected, and against
// workspaces that move to a node other than their spare when their preferred node
// leaves.
func TestSelect(t *testing.T) {
	s := selector.New("dc-0", region)
	live := fleet(9)
	moved := 0
	for i := range 100 {
		ws := fmt.Sprint("w", i)
		got := s.Select(live, ws, 1)
		if len(got) != 2 || region(got[0].DataCentre) != "near" {
			t.Fatalf("%s: got %v, want 2 nodes, the first in the own region", ws, got)
		}
		firstLeaving := make([]member.Info, 0, len(live))
		for _, m := range live {
			if m.Name == got[0].Name {
				m.State = member.Leaving
			}
			firstLeaving = append(firstLeaving, m)
		}
		after := s.Select(firstLeaving, ws, 1)
		for _, m := range after {
			if m.Name == got[0].Name {
				t.Errorf("%s: the leaving node is still selected", ws)
			}
		}
		if after[0].Name != got[1].Name {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of 100 workspaces moved to a node other than their spare", moved)
	}
	if got := s.Select(fleet(4)[3:], "w", 1); len(got) != 1 {
		t.Errorf("with remote nodes only: got %v, want 1 node", got)
	}
}
