package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/meter"
)

// Guards against results that Prometheus drops, since the label names of a counter differ.
func TestHedgesAreCountedByResultAndReason(t *testing.T) {
	m := meter.New()
	m.RecordHedge("started", "none")
	m.RecordHedge("withheld", "slots")
	m.RecordHedge("withheld", "slots")
	if err := m.Close(); err != nil { // reports what was counted
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`auburnnotch_hedges{reason="none",result="started"} 1`, `auburnnotch_hedges{reason="slots",result="withheld"} 2`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in %s", want, w.Body.String())
		}
	}
}
