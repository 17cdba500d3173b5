package observer_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/linter"
)

// checkFixture runs an observer with a check of its configuration.
func checkFixture(t *testing.T, check func(it platform.Item, limit int) ([]linter.Finding, int)) *fixture {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	b := &fixture{t: t, clk: testlib.NewClock(start), store: testlib.NewStore(), listener: &recordingListener{}, log: hook}
	b.store.Set("ops/config", "7")
	b.obs = observer.New(b.clk, b.clk, log, b.store, observer.Layout{OperatorPrefix: "ops/", Decode: decode, Check: check})
	b.listener.view = b.obs.View
	b.obs.SetListener(b.listener)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = b.obs.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

// findings returns the fields of the log lines of findings.
func (b *fixture) findings() []string {
	var out []string
	for _, e := range b.log.AllEntries() {
		if e.Data["event"] != "configFinding" {
			continue
		}
		if e.Level != logrus.WarnLevel {
			b.t.Errorf("level %s, want a warning", e.Level)
		}
		out = append(out, fmt.Sprint(e.Data))
	}
	return out
}

// Guards against findings that flood the log, that hide errors behind warnings, or that are
// logged again with each read of the store.
func TestFindingsAreLoggedOnceForEachVersion(t *testing.T) {
	b := checkFixture(t, func(it platform.Item, limit int) ([]linter.Finding, int) {
		if string(it.Value) != "7" {
			return nil, 0
		}
		var found []linter.Finding
		for i := range limit {
			found = append(found, linter.Finding{Code: linter.RouteHost, Severity: linter.Warning, Path: "p" + strconv.Itoa(i), Line: i, Text: "t"})
		}
		return append(found, linter.Finding{Code: linter.RoutePrefix, Severity: linter.Error, Path: "q", Line: 3, Text: "u"}), 5
	})
	b.until("the findings", func() bool { return len(b.findings()) == 21 })
	got := b.findings()
	if want := "map[code:routePrefix config:7 event:configFinding line:3 place:q severity:error text:u]"; got[0] != want {
		t.Errorf("first finding %s, want %s", got[0], want)
	}
	if want := "map[config:7 event:configFinding omitted:6]"; got[20] != want {
		t.Errorf("last line %s, want %s", got[20], want)
	}
	b.step(11 * time.Second)
	b.store.Set("ops/config", "8")
	b.until("version 8", func() bool { return b.obs.View().Matcher.Catalog().Version == 8 })
	b.step(11 * time.Second)
	if n := len(b.findings()); n != 21 {
		t.Errorf("%d lines after reads of the same version and one without findings, want 21", n)
	}
}

// Guards against a check that delays a configuration, or that takes a large part of a core while
// operators' tools write many versions.
func TestCheckDelaysNoConfiguration(t *testing.T) {
	release, checked := make(chan struct{}), make(chan string, 100)
	b := checkFixture(t, func(it platform.Item, _ int) ([]linter.Finding, int) {
		checked <- string(it.Value)
		<-release
		return nil, 0
	})
	b.until("version 7", func() bool { return b.obs.View() != nil })
	if first := <-checked; first != "7" {
		t.Fatalf("checked %s first, want 7", first)
	}
	for v := uint64(8); v < 13; v++ {
		b.store.Set("ops/config", strconv.FormatUint(v, 10))
		b.until("the next version", func() bool { return b.obs.View().Matcher.Catalog().Version == v })
	}
	close(release)
	b.step(11 * time.Second) // checks are 10 s apart
	var got []string
	b.until("the check of the last version", func() bool {
		for {
			select {
			case v := <-checked:
				got = append(got, v)
				continue
			default:
			}
			return slices.Contains(got, "12")
		}
	})
	if len(got) > 1 {
		t.Errorf("checked %v, want only the last version", got)
	}
}

// Guards against a configuration that ends all nodes: they run the same check on it.
func TestPanicOfCheckLeavesNodeRunning(t *testing.T) {
	b := checkFixture(t, func(platform.Item, int) ([]linter.Finding, int) { panic("fault of a rule") })
	b.until("the log line", func() bool {
		return slices.ContainsFunc(b.log.AllEntries(), func(e *logrus.Entry) bool { return e.Data["event"] == "configCheckPanic" })
	})
	b.store.Set("ops/config", "8")
	b.until("version 8", func() bool { v := b.obs.View(); return v != nil && v.Matcher.Catalog().Version == 8 })
}
