package estimator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/estimator"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestEstimateFollowsSamplesOfRoute(t *testing.T) {
	stream := func(first, rest time.Duration, output int) estimator.Sample {
		return estimator.Sample{At: start, First: first, Rest: rest, Output: output}
	}
	many := func(n int, s estimator.Sample, more ...estimator.Sample) []estimator.Sample {
		out := more
		for range n {
			out = append(out, s)
		}
		return out
	}
	for _, c := range []struct {
		name    string
		samples []estimator.Sample
		after   time.Duration
		output  int
		want    time.Duration
	}{
		{"nothing known", nil, 0, 100, 0},
		{"plain", []estimator.Sample{stream(30*time.Millisecond, 0, 0)}, 0, 0, 30 * time.Millisecond},
		{"a longer stream", []estimator.Sample{stream(50*time.Millisecond, time.Second, 100)}, 0, 900, 50*time.Millisecond + 9*time.Second},
		{"the slower of two", []estimator.Sample{stream(50*time.Millisecond, time.Second, 100), stream(100*time.Millisecond, time.Second, 1000)}, 0, 100, 1100 * time.Millisecond},
		{"a slow one among many", many(31, stream(0, time.Second, 100), stream(0, 90*time.Second, 100)), 0, 100, 90 * time.Second},
		{"slow ones that are forgotten", many(32, stream(0, time.Second, 100), stream(0, 90*time.Second, 100), stream(0, 90*time.Second, 100)), 0, 100, time.Second},
		{"old", []estimator.Sample{stream(50*time.Millisecond, time.Second, 100)}, 11 * time.Second, 100, 0},
	} {
		e := estimator.New()
		for _, s := range c.samples {
			e.Record("r", s)
		}
		e.Record("other", stream(time.Hour, time.Hour, 1))
		if got := e.Estimate(start.Add(c.after), "r", c.output); got != c.want {
			t.Errorf("%s: %v expected, want %v", c.name, got, c.want)
		}
	}
}

// Routes come and go with configurations; those without answers must not pile up.
func BenchmarkRecordWhileRoutesChange(b *testing.B) {
	b.ReportAllocs()
	e := estimator.New()
	for i := range b.N {
		at := start.Add(time.Duration(i) * time.Millisecond)
		e.Record(fmt.Sprint("r", i/1000), estimator.Sample{At: at, First: time.Millisecond})
	}
}

// Guards against LOST: streams without a number of tokens were expected to take no
// longer than to their first event.
func TestEstimateOfStreamsWithoutTokenCount(t *testing.T) {
	e := estimator.New()
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: 6 * time.Second})
	if got, want := e.Estimate(start, "r", 0), 6050*time.Millisecond; got != want {
		t.Errorf("%v expected, want %v", got, want)
	}
}

// Guards against a stopping node that refuses all streams of a route since one caller
// didn't tell the number of tokens.
func TestSampleWithoutTokenCountDoesNotSlowEstimate(t *testing.T) {
	e := estimator.New()
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: time.Second, Output: 100})
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: time.Second})
	if got := e.Estimate(start, "r", 100); got > 2*time.Second {
		t.Errorf("%v expected after two streams of 1.05 s", got)
	}
}
