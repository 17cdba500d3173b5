package checker_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
)

func TestWalls(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(100+s), 0) }
	for _, c := range []struct {
		name  string
		walls []checker.Wall
		runs  []checker.Run
		want  int
	}{
		{"two workspaces without walls share parts", nil, []checker.Run{{Workspace: "a", StartedAt: at(0)}, {Workspace: "b", StartedAt: at(1)}}, 0},
		{"a part made before the wall", []checker.Wall{{At: at(1), Workspace: "a", Isolated: true}}, []checker.Run{{Workspace: "a", StartedAt: at(0)}, {Workspace: "b", StartedAt: at(10)}}, 1},
		{"the isolated workspace uses others' parts", []checker.Wall{{At: at(1), Workspace: "a", Isolated: true}}, []checker.Run{{Workspace: "b", StartedAt: at(0)}, {Workspace: "a", StartedAt: at(10)}}, 1},
		{"the wall isn't in force everywhere yet", []checker.Wall{{At: at(1), Workspace: "a", Isolated: true}}, []checker.Run{{Workspace: "a", StartedAt: at(0)}, {Workspace: "b", StartedAt: at(3)}}, 0},
		{"the wall is gone again", []checker.Wall{{At: at(1), Workspace: "a", Isolated: true}, {At: at(9), Workspace: "a"}}, []checker.Run{{Workspace: "a", StartedAt: at(0)}, {Workspace: "b", StartedAt: at(10)}}, 0},
		{"the isolated workspace is removed", []checker.Wall{{At: at(1), Workspace: "a", Isolated: true}}, []checker.Run{{Workspace: "a", StartedAt: at(0)}, {Workspace: "b", StartedAt: at(3), CacheSalt: "other"}, {Workspace: "b", StartedAt: at(20)}}, 1},
		{"another salt", []checker.Wall{{At: at(1), Workspace: "a", Isolated: true}}, []checker.Run{{Workspace: "a", StartedAt: at(0)}, {Workspace: "b", CacheSalt: "other", StartedAt: at(10)}}, 0},
	} {
		h := &checker.History{Walls: c.walls}
		for _, r := range c.runs {
			if r.CacheSalt == "" {
				r.CacheSalt = "salt"
			}
			h.Runs = append(h.Runs, r)
		}
		got := 0
		for _, v := range checker.New(checker.Bounds{Revoke: 5 * time.Second}).Check(h) {
			if v.Rule == "wall" {
				got++
			}
		}
		if got != c.want {
			t.Errorf("%s: %d violations, want %d", c.name, got, c.want)
		}
	}
}
