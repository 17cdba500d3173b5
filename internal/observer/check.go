package observer

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/linter"
)

const (
	// maxFindings bounds the findings on one configuration that are logged. One mistake may
	// concern each of thousands of workspaces.
	maxFindings = 20
	// minCheckInterval is the minimum time between two checks. The check of 22,000 workspaces
	// takes about 0.15 s of a core, and operators' tools may write many versions in a row.
	minCheckInterval = 10 * time.Second
)

// queuedConfig is a configuration that waits for its check.
type queuedConfig struct {
	item    platform.Item
	version uint64
}

// queueCheck has the configuration of an item checked, in place of one that waits for its check.
// The caller holds o.mu.
func (o *Observer) queueCheck(q queuedConfig) {
	if o.layout.Check == nil {
		return
	}
	select {
	case <-o.unchecked:
	default:
	}
	o.unchecked <- q
}

// checkConfigs checks configurations until ctx ends. They come in force independently of that. A
// version that is replaced before its turn isn't checked.
func (o *Observer) checkConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-o.unchecked:
			o.checkConfig(q)
			clock.Sleep(ctx, o.clk, minCheckInterval)
		}
	}
}

// checkConfig logs the findings on a configuration, errors first.
func (o *Observer) checkConfig(q queuedConfig) {
	// All nodes check the same document, so that a panic would end the whole fleet.
	defer func() {
		if p := recover(); p != nil {
			o.log.WithFields(logrus.Fields{"event": "configCheckPanic", "config": q.version, "panic": p, "stack": string(debug.Stack())}).
				Error("panic while checking a configuration")
		}
	}()
	findings, omitted := o.layout.Check(q.item, maxFindings)
	logged := 0
	for _, severity := range []linter.Severity{linter.Error, linter.Warning} {
		for i := range findings {
			f := &findings[i]
			if f.Severity != severity || logged == maxFindings {
				continue
			}
			logged++
			o.log.WithFields(logrus.Fields{
				"event": "configFinding", "config": q.version, "code": string(f.Code), "severity": string(f.Severity),
				"place": f.Path, "line": f.Line, "text": f.Text,
			}).Warn("finding on the configuration")
		}
	}
	if omitted += len(findings) - logged; omitted > 0 {
		o.log.WithFields(logrus.Fields{"event": "configFinding", "config": q.version, "omitted": omitted}).Warn("more findings on the configuration")
	}
}
