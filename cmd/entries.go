package cmd

import (
	"context"

	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

type entriesCommand struct {
	nodeClient
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *entriesCommand) run(ctx context.Context, streams ioStreams) error {
	var e wire.Entries
	if err := fetch(ctx, c.sling().Get("/v1/entries"), &e); err != nil {
		return err
	}
	if c.JSON {
		return streams.printJSON(e)
	}
	for _, n := range e.Entries {
		streams.printf("%-22s %-20s %s\n", n.Address, n.Name, n.DataCentre)
	}
	streams.printf("keep for %g s\n", e.KeepSeconds)
	return nil
}
