// Package reporter writes the results of soak tests as a text table and as an SVG
// plot.
package reporter

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	svg "github.com/ajstarks/svgo"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
)

// Result is the result of one soak test.
type Result struct {
	Seed       uint64
	StartedAt  time.Time
	Plan       []planner.Step
	History    *checker.History
	Violations []checker.Violation
	Problems   []string
}

// Failed reports whether the soak found a violation or another problem.
func (o *Result) Failed() bool { return len(o.Violations)+len(o.Problems) > 0 }

// Reporter writes reports to an output.
type Reporter struct{ out io.Writer }

// New returns a Reporter that writes to out.
func New(out io.Writer) *Reporter { return &Reporter{out: out} }

// maxShownViolations is the maximum number of violations listed per soak.
const maxShownViolations = 5

// Table writes a table with one line per soak, followed by the violations and
// problems.
func (r *Reporter) Table(results []Result) error {
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "seed\tfaults\trequests\tserved\tnot run\tno answer\truns\tp50\tp99\tbroken")
	for i := range results {
		o := &results[i]
		c := count(o.History)
		fmt.Fprintf(w, "%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%d\t%v\t%v\t%d\n", o.Seed, len(o.Plan), c.requests, c.share(c.served), c.share(c.notRun),
			c.share(c.unanswered), len(o.History.Runs), c.quantile(0.5), c.quantile(0.99), len(o.Violations)+len(o.Problems))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i := range results {
		o := &results[i]
		for j, v := range o.Violations {
			if j < maxShownViolations {
				fmt.Fprintf(r.out, "seed %d: %s\n", o.Seed, v)
			}
		}
		for _, p := range o.Problems {
			fmt.Fprintf(r.out, "seed %d: %s\n", o.Seed, p)
		}
	}
	return nil
}

// counts holds the request statistics of a soak or of a part of it.
type counts struct {
	requests, served, notRun, unanswered int
	latencies                            []time.Duration // of served requests
}

func count(h *checker.History) counts {
	var c counts
	for i := range h.Requests {
		c.add(&h.Requests[i])
	}
	sort.Slice(c.latencies, func(i, j int) bool { return c.latencies[i] < c.latencies[j] })
	return c
}

func (c *counts) add(r *checker.Request) {
	c.requests++
	switch {
	case r.Status == 200 && r.Complete:
		c.served++
		c.latencies = append(c.latencies, r.EndedAt.Sub(r.SentAt))
	case r.Status == 429 || r.Status == 503:
		c.notRun++
	case r.Status == 0 || !r.Complete:
		c.unanswered++
	}
}

func (c *counts) share(n int) float64 { return float64(n) / float64(max(1, c.requests)) }

func (c *counts) quantile(q float64) time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	return c.latencies[int(q*float64(len(c.latencies)-1))].Round(time.Millisecond)
}

// Layout of the plot: sizes in pixels, and the time that a bar covers.
const (
	plotWidth   = 900
	plotHeight  = 240
	margin      = 40
	barDuration = 250 * time.Millisecond
)

// Plot draws the number of requests that were served, not run and without a whole
// response over the time of a soak, and marks the start of each fault.
func (r *Reporter) Plot(o *Result) {
	total := o.History.EndedAt.Sub(o.StartedAt)
	bars := make([]counts, int(total/barDuration)+1)
	peak := 1
	for i := range o.History.Requests {
		req := &o.History.Requests[i]
		at := int(req.SentAt.Sub(o.StartedAt) / barDuration)
		if at < 0 || at >= len(bars) {
			continue
		}
		bars[at].add(req)
		peak = max(peak, bars[at].requests)
	}
	c := svg.New(r.out)
	c.Start(plotWidth, plotHeight)
	c.Rect(0, 0, plotWidth, plotHeight, "fill:white")
	x := func(d time.Duration) int { return margin + int(float64(plotWidth-2*margin)*float64(d)/float64(total)) }
	width := max(1, x(barDuration)-x(0)-1)
	for i := range bars {
		y := plotHeight - margin
		for _, segment := range []struct {
			n     int
			style string
		}{{bars[i].served, "fill:seagreen"}, {bars[i].notRun, "fill:goldenrod"}, {bars[i].unanswered, "fill:firebrick"}} {
			h := segment.n * (plotHeight - 2*margin) / peak
			y -= h
			c.Rect(x(time.Duration(i)*barDuration), y, width, h, segment.style)
		}
	}
	for i, s := range o.Plan {
		c.Line(x(s.At), margin, x(s.At), plotHeight-margin, "stroke:gray;stroke-dasharray:2")
		c.Text(x(s.At), margin-4-8*(i%3), fmt.Sprintf("%T", s.Fault)[len("planner."):], "font-size:8px")
	}
	c.Text(margin, plotHeight-margin/2, fmt.Sprintf("seed %d, %v; green: served, yellow: not run, red: no whole answer; requests by %v", o.Seed, total.Round(time.Second), barDuration), "font-size:10px")
	c.End()
}
