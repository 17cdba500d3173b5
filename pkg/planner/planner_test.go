package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
	"github.com/auburnnotch/auburnnotch/pkg/planner"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// migrationInput returns a deployment in which the first half of the engines
// leaves and the second half has not loaded its weights yet.
func migrationInput(engines, loads int, drain, leave time.Duration) planner.Input {
	d := declare.New().WithDataCentre("old", "r").WithDataCentre("new", "r").WithModel("m", "v1").
		WithPool(declare.Pool("p", "m", "v1", config.Interactive)).WithWeightStore(loads, time.Second)
	in := planner.Input{Loaded: map[string]planner.Weights{}, LongestRequest: 10 * time.Minute}
	for i := range engines {
		name, vm := fmt.Sprint("e", i), fmt.Sprint("vm", i)
		if i < engines/2 {
			d = d.WithVM(declare.LeavingVM(vm, "old", now.Add(drain), now.Add(leave)))
			in.Loaded[name] = planner.Weights{Model: "m", Version: "v1"}
		} else {
			d = d.WithVM(declare.VM(vm, "new"))
			in.Loaded[name] = planner.Weights{}
		}
		d = d.WithUpstream(declare.Engine(name, vm, "http://10.0.0.1:80", "p", 8, true))
	}
	in.Declaration = d.Config()
	return in
}

func TestVMsAreDrainedBeforeLeaveTime(t *testing.T) {
	for name, c := range map[string]struct{ engines, loads int }{"adire": {18, 3}, "guiers": {12, 2}} {
		t.Run(name, func(t *testing.T) {
			p := planner.New(migrationInput(c.engines, c.loads, time.Hour, 2*time.Hour)).Plan(now)
			if !p.InTime() {
				t.Fatalf("warnings: %v", p.Warnings)
			}
			if len(p.VMs) != c.engines/2 || len(p.Loads) != c.engines/2 {
				t.Errorf("planned %d VMs and %d loads, want one of each per leaving engine", len(p.VMs), len(p.Loads))
			}
			for _, l := range p.Loads {
				concurrent := 0
				for _, o := range p.Loads {
					if !o.Start.After(l.Start) && o.End.After(l.Start) {
						concurrent++
					}
				}
				if concurrent > c.loads {
					t.Errorf("%d concurrent loads at %s", concurrent, l.Start)
				}
			}
		})
	}
}

func TestPlanWarnings(t *testing.T) {
	noSuccessor := migrationInput(2, 1, time.Hour, 2*time.Hour)
	noSuccessor.Declaration.Upstreams = noSuccessor.Declaration.Upstreams[:1]
	for name, c := range map[string]struct {
		in   planner.Input
		want string
	}{
		"drain begins too late":     {migrationInput(4, 2, 55*time.Minute, time.Hour), "set drainFrom to"},
		"no upstream is left":       {noSuccessor, "declare one on a VM that stays"},
		"loads end after the drain": {migrationInput(18, 1, 5*time.Second, time.Hour), "let that VM leave later"},
		"leave time is in the past": {migrationInput(4, 2, -2*time.Hour, -time.Hour), "is forecast to be empty"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.in.Running = map[string]int{"e0": 1}; !strings.Contains(strings.Join(planner.New(c.in).Plan(now).Warnings, "\n"), c.want) {
				t.Errorf("warnings %v, want %q", planner.New(c.in).Plan(now).Warnings, c.want)
			}
		})
	}
}
