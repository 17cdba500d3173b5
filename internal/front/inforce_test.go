package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
)

// pauseHook holds up the goroutine that logs that a revision is in force.
type pauseHook struct {
	revision         uint64
	reached, release chan struct{}
}

func (*pauseHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *pauseHook) Fire(e *logrus.Entry) error {
	if e.Data["event"] == "configInForce" && e.Data["revision"] == h.revision {
		close(h.reached)
		<-h.release
	}
	return nil
}

// Guards against a proper request that is refused: a configuration was in force before the
// scheduler knew its upstreams.
func TestRequestIsServedOnceConfigurationIsInForce(t *testing.T) {
	t.Parallel()
	f := newFixture(t, config.Limits{}, answer)
	h := &pauseHook{revision: 2, reached: make(chan struct{}), release: make(chan struct{})}
	defer close(h.release)
	f.log.AddHook(h)
	f.declare(t, f.declaration().
		WithService("bills", declare.Repeatable("/list", config.Interactive)).
		WithUpstream(declare.BackEnd("b", "vm", "http://"+f.up.Addr, "bills", 64)))
	select {
	case <-h.reached:
	case <-time.After(10 * time.Second):
		t.Fatal("the configuration isn't in force")
	}
	resp, body := testlib.SendParts(t, f.addr, 0, post("/v1/services/bills/list", "Content-Length: 1")+"x")
	if resp == nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, body %q, want that of the new service", resp, body)
	}
}
