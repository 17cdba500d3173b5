// Package reporter writes what soaks have shown, as a table and as a plot.
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

// Result is one soak.
type Result struct {
	Seed       uint64
	StartedAt  time.Time
	Plan       []planner.Step
	History    *checker.History
	Violations []checker.Violation
	Problems   []string
}

// Failed reports whether a promise was broken.
func (o *Result) Failed() bool { return len(o.Violations)+len(o.Problems) > 0 }

// Reporter writes to an output.
type Reporter struct{ out io.Writer }

// New returns a Reporter.
func New(out io.Writer) *Reporter { return &Reporter{out: out} }

// mostShown bounds the violations that are shown of a soak.
const mostShown = 5

// Table writes a line for each soak, and what was broken.
func (r *Reporter) Table(outcomes []Result) error {
	w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "seed\tfaults\trequests\tserved\tnot run\tno answer\truns\tp50\tp99\tbroken")
	for i := range outcomes {
		o := &outcomes[i]
		c := count(o.History)
		fmt.Fprintf(w, "%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%d\t%v\t%v\t%d\n", o.Seed, len(o.Plan), c.requests, c.share(c.served), c.share(c.refused),
			c.share(c.unanswered), len(o.History.Runs), c.quantile(0.5), c.quantile(0.99), len(o.Violations)+len(o.Problems))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i := range outcomes {
		o := &outcomes[i]
		for j, v := range o.Violations {
			if j < mostShown {
				fmt.Fprintf(r.out, "seed %d: %s\n", o.Seed, v)
			}
		}
		for _, p := range o.Problems {
			fmt.Fprintf(r.out, "seed %d: %s\n", o.Seed, p)
		}
	}
	return nil
}

type counts struct {
	requests, served, refused, unanswered int
	latencies                             []time.Duration // of those served
}

func count(h *checker.History) counts {
	var c counts
	for i := range h.Requests {
		c.add(&h.Requests[i])
	}
	sort.Slice(c.latencies, func(i, j int) bool { return c.latencies[i] < c.latencies[j] })
	return c
}

func (c *counts) add(x *checker.Request) {
	c.requests++
	switch {
	case x.Status == 200 && x.Complete:
		c.served++
		c.latencies = append(c.latencies, x.EndedAt.Sub(x.SentAt))
	case x.Status == 429 || x.Status == 503:
		c.refused++
	case x.Status == 0 || !x.Complete:
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

// The plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 240
	margin     = 40
	step       = 250 * time.Millisecond // of a bar
)

// Plot draws how many requests were served, refused and left without an answer
// over the time of a soak, with its faults.
func (r *Reporter) Plot(o *Result) {
	total := o.History.EndedAt.Sub(o.StartedAt)
	bars := make([]counts, int(total/step)+1)
	most := 1
	for i := range o.History.Requests {
		x := &o.History.Requests[i]
		at := int(x.SentAt.Sub(o.StartedAt) / step)
		if at < 0 || at >= len(bars) {
			continue
		}
		bars[at].add(x)
		most = max(most, bars[at].requests)
	}
	c := svg.New(r.out)
	c.Start(plotWidth, plotHeight)
	c.Rect(0, 0, plotWidth, plotHeight, "fill:white")
	x := func(d time.Duration) int { return margin + int(float64(plotWidth-2*margin)*float64(d)/float64(total)) }
	width := max(1, x(step)-x(0)-1)
	for i := range bars {
		y := plotHeight - margin
		for _, part := range []struct {
			n     int
			style string
		}{{bars[i].served, "fill:seagreen"}, {bars[i].refused, "fill:goldenrod"}, {bars[i].unanswered, "fill:firebrick"}} {
			h := part.n * (plotHeight - 2*margin) / most
			y -= h
			c.Rect(x(time.Duration(i)*step), y, width, h, part.style)
		}
	}
	for i, s := range o.Plan {
		c.Line(x(s.At), margin, x(s.At), plotHeight-margin, "stroke:gray;stroke-dasharray:2")
		c.Text(x(s.At), margin-4-8*(i%3), fmt.Sprintf("%T", s.Fault)[len("planner."):], "font-size:8px")
	}
	c.Text(margin, plotHeight-margin/2, fmt.Sprintf("seed %d, %v; green: served, yellow: not run, red: no whole answer; requests by %v", o.Seed, total.Round(time.Second), step), "font-size:10px")
	c.End()
}
