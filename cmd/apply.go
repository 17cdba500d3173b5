package cmd

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

type applyCommand struct {
	nodeClient
	File string        `arg:"positional,required" help:"declaration, JSON with comments"`
	Base *uint64       `arg:"--base" help:"revision that you saw; refused if another is in force"`
	Wait time.Duration `arg:"--wait" default:"10s" help:"how long to wait until every node has it"`
	JSON bool          `arg:"--json" help:"print the result as JSON"`
}

func (c *applyCommand) run(ctx context.Context, streams ioStreams) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Trace(err)
	}
	accepted, err := c.submit(ctx, c.File, text, c.Base)
	if c.JSON {
		if err := streams.printJSON(accepted); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	if !c.JSON {
		streams.printf("revision %d accepted\n", accepted.Revision)
	}
	return c.waitInForce(ctx, streams, accepted.Revision)
}

// waitInForce waits until revision, or a later one, is in force on every node
// that the status lists, for at most c.Wait.
func (c *applyCommand) waitInForce(ctx context.Context, streams ioStreams, revision uint64) error {
	const pollInterval = 100 * time.Millisecond
	clk := systemclock.New()
	for end := clk.Now().Add(c.Wait); clk.Now().Before(end); {
		s, err := c.status(ctx)
		if err == nil && s.Revision >= revision && s.InForce == len(s.Nodes) {
			if !c.JSON {
				streams.printf("in force on %d of %d nodes\n", s.InForce, len(s.Nodes))
			}
			return nil
		}
		if !clock.Sleep(ctx, clk, pollInterval) {
			return ctx.Err()
		}
	}
	return errors.Errorf("revision %d is accepted but not yet in force on every node; see `auburnnotch status`", revision)
}
