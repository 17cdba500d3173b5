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
		return estimator.Sample{At: start, First: first, Rest: rest, MaxOutput: output}
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
		{"no samples", nil, 0, 100, 0},
		{"plain", []estimator.Sample{stream(30*time.Millisecond, 0, 0)}, 0, 0, 30 * time.Millisecond},
		{"stream with more tokens", []estimator.Sample{stream(50*time.Millisecond, time.Second, 100)}, 0, 900, 50*time.Millisecond + 9*time.Second},
		{"slowest of two", []estimator.Sample{stream(50*time.Millisecond, time.Second, 100), stream(100*time.Millisecond, time.Second, 1000)}, 0, 100, 1100 * time.Millisecond},
		{"one slow stream among many", many(31, stream(0, time.Second, 100), stream(0, 90*time.Second, 100)), 0, 100, 90 * time.Second},
		{"slow streams overwritten by newer ones", many(32, stream(0, time.Second, 100), stream(0, 90*time.Second, 100), stream(0, 90*time.Second, 100)), 0, 100, time.Second},
		{"old", []estimator.Sample{stream(50*time.Millisecond, time.Second, 100)}, 11 * time.Second, 100, 0},
	} {
		e := estimator.New()
		for _, s := range c.samples {
			e.Record("r", s)
		}
		e.Record("other", stream(time.Hour, time.Hour, 1))
		got, known := e.Estimate(start.Add(c.after), "r", c.output)
		if got != c.want || known != (c.want > 0) {
			t.Errorf("%s: estimate %v (known: %v), want %v", c.name, got, known, c.want)
		}
	}
}

// Guards against a memory leak: configurations add and remove routes, and the samples
// of removed routes must be dropped.
func BenchmarkRecordWhileRoutesChange(b *testing.B) {
	b.ReportAllocs()
	e := estimator.New()
	for i := range b.N {
		at := start.Add(time.Duration(i) * time.Millisecond)
		e.Record(fmt.Sprint("r", i/1000), estimator.Sample{At: at, First: time.Millisecond})
	}
}

// Guards against LOST: for streams without a token count, the estimate covered only
// the time to the first event.
func TestEstimateOfStreamsWithoutTokenCount(t *testing.T) {
	e := estimator.New()
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: 6 * time.Second})
	const want = 6050 * time.Millisecond
	if got, known := e.Estimate(start, "r", 0); got != want || !known {
		t.Errorf("estimate %v (known: %v), want %v", got, known, want)
	}
}

// Guards against LOST: a stream of many tokens counted as expected to take no time, as
// the recent responses of its route had no token counts.
func TestEstimateIsUnknownWithoutTokenCounts(t *testing.T) {
	e := estimator.New()
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: 6 * time.Second})
	if got, known := e.Estimate(start, "r", 900); known {
		t.Errorf("estimate %v from responses without token counts", got)
	}
}

// Guards against a node in graceful shutdown rejecting all streams of a route because
// one caller didn't give a token count.
func TestSampleWithoutTokenCountDoesNotSlowEstimate(t *testing.T) {
	e := estimator.New()
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: time.Second, MaxOutput: 100})
	e.Record("r", estimator.Sample{At: start, First: 50 * time.Millisecond, Rest: time.Second})
	if got, known := e.Estimate(start, "r", 100); got > 2*time.Second || !known {
		t.Errorf("estimate %v after two streams of 1.05 s", got)
	}
}
