package cmd

import "context"

type statusCommand struct {
	nodeClient
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *statusCommand) run(ctx context.Context, streams ioStreams) error {
	s, err := c.status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return streams.printJSON(s)
	}
	streams.printf("revision %d in force on %d of %d nodes; %d requests run and %d wait on %s\n",
		s.Revision, s.InForce, len(s.Nodes), s.Running, s.Waiting, s.Node)
	for _, n := range s.Nodes {
		streams.printf("node %-20s %-22s %-16s %-8s revision %d reached %t\n", n.Name, n.Address, n.DataCentre, n.State, n.Revision, n.Reached)
	}
	for _, v := range s.VMs {
		streams.printf("vm   %-20s leaves %s draining %t requests here %d\n", v.Name, v.LeavesAt, v.Draining, v.Requests)
	}
	return nil
}
