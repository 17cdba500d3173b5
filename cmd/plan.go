package cmd

import "context"

type planCommand struct {
	target
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *planCommand) run(ctx context.Context, env environment) error {
	d, err := c.declared(ctx)
	if err != nil {
		return err
	}
	return env.printJSON(d)
}
