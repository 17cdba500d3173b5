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

func (c *planCommand) run(ctx context.Context, streams ioStreams) error {
	var p planner.Plan
	if err := fetch(ctx, c.sling().Get("/v1/plan"), &p); err != nil {
		return err
	}
	if c.JSON {
		if err := streams.printJSON(p); err != nil {
			return err
		}
	} else {
		printPlan(streams, p)
	}
	if !p.InTime() {
		return errors.New("the plan can't be met; see its warnings")
	}
	return nil
}

func printPlan(streams ioStreams, p planner.Plan) {
	for _, v := range p.VMs {
		streams.printf("vm   %-20s drains %s empty %s leaves %s requests %d in time %t\n", v.Name,
			v.DrainFrom.Format(time.RFC3339), v.EmptyAt.Format(time.RFC3339), v.LeavesAt.Format(time.RFC3339), v.Requests, v.InTime)
	}
	for _, l := range p.Loads {
		streams.printf("load %-20s %s %s from %s to %s\n", l.Engine, l.Model, l.Version, l.Start.Format(time.RFC3339), l.End.Format(time.RFC3339))
	}
	for _, x := range p.Pools {
		streams.printf("pool %-20s slots now %d, when all have left %d\n", x.Name, x.SlotsNow, x.SlotsAfter)
	}
	for _, w := range p.Warnings {
		streams.printf("warning: %s\n", w)
	}
}
