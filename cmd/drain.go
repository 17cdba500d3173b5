package cmd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

type drainCommand struct {
	nodeClient
	VM   string `arg:"positional,required" help:"name of the VM"`
	At   string `arg:"--at,required" help:"when it must be empty, as 2027-03-31T18:00:00Z"`
	From string `arg:"--from" help:"when it stops to take new work (default ten minutes before)"`
}

func parseTime(flag, s string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return t, errors.WithType(errors.Errorf("%s: %q is not a time such as 2027-03-31T18:00:00Z", flag, s), errUsage)
	}
	return t, nil
}

func (c *drainCommand) run(ctx context.Context, streams ioStreams) error {
	at, err := parseTime("--at", c.At)
	if err != nil {
		return err
	}
	var from *time.Time
	if c.From != "" {
		t, err := parseTime("--from", c.From)
		if err != nil {
			return err
		}
		from = &t
	}
	d, err := c.declaration(ctx)
	if err != nil {
		return err
	}
	found := false
	for i := range d.Declaration.VMs {
		if v := &d.Declaration.VMs[i]; v.Name == c.VM {
			v.LeavesAt, v.DrainFrom, found = &at, from, true
		}
	}
	if !found {
		return errors.NotFoundf("VM %q in revision %d", c.VM, d.Revision)
	}
	text, err := json.Marshal(d.Declaration)
	if err != nil {
		return errors.Trace(err)
	}
	accepted, err := c.submit(ctx, "drain", text, &d.Revision)
	if err != nil {
		return err
	}
	streams.printf("revision %d accepted: %s leaves at %s\n", accepted.Revision, c.VM, at.Format(time.RFC3339))
	return nil
}
