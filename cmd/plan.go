package cmd

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/planner"
)

type planCommand struct {
	nodeClient
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *planCommand) run(ctx context.Context, env environment) error {
	var p planner.Plan
	if err := fetch(ctx, c.sling().Get("/v1/plan"), &p); err != nil {
		return err
	}
	if c.JSON {
		if err := env.printJSON(p); err != nil {
			return err
		}
	} else {
		printPlan(env, p)
	}
	if !p.InTime() {
		return errors.New("the plan can't be met; see its warnings")
	}
	return nil
}

func printPlan(env environment, p planner.Plan) {
	for _, v := range p.VMs {
		env.printf("vm   %-20s drains %s empty %s leaves %s requests %d in time %t\n", v.Name,
			v.DrainFrom.Format(time.RFC3339), v.EmptyAt.Format(time.RFC3339), v.LeavesAt.Format(time.RFC3339), v.Requests, v.InTime)
	}
	for _, l := range p.Loads {
		env.printf("load %-20s %s %s from %s to %s\n", l.Engine, l.Model, l.Version, l.Start.Format(time.RFC3339), l.End.Format(time.RFC3339))
	}
	for _, x := range p.Pools {
		env.printf("pool %-20s slots now %d, when all have left %d\n", x.Name, x.SlotsNow, x.SlotsAfter)
	}
	for _, w := range p.Warnings {
		env.printf("warning: %s\n", w)
	}
}
