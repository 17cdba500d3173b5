package node_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/standin/kvstore"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
)

// BenchmarkRestart measures the time from when a restarted entry listens to its
// first complete response. Another entry stays alive; the platform is up, slow or
// down.
func BenchmarkRestart(b *testing.B) {
	for name, f := range map[string]kvstore.Faults{"up": {}, "slow": {DelayMillis: 2000}, "down": {Down: true}} {
		b.Run(name, func(b *testing.B) {
			d := deploy(b, 1, 2)
			d.store.SetFaults(f)
			chat := testlib.NewChat("shared", "restart", 1)
			var took time.Duration
			for range b.N {
				_ = d.Nodes[1].Signal(syscall.SIGKILL)
				_ = d.Nodes[1].Wait()
				if err := d.Restart(1); err != nil {
					b.Fatal(err)
				}
				start := time.Now()
				for {
					if r, err := d.caller(1).Chat(d.ctx, chat, nil); err == nil && r.Complete {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
				took += time.Since(start)
			}
			b.ReportMetric(took.Seconds()*1000/float64(b.N), "ms-to-first-answer")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkPlatformCalls measures the platform calls per second of 9 idle entries
// in total, by budget line.
func BenchmarkPlatformCalls(b *testing.B) {
	const window = 15 * time.Second
	for range b.N {
		d := deploy(b, 2, 9)
		time.Sleep(2 * time.Second)
		before := platformCalls(b, d)
		time.Sleep(window)
		after := platformCalls(b, d)
		for line, n := range after {
			b.ReportMetric((n-before[line])/window.Seconds(), line+"-calls/s")
		}
		b.ReportMetric(0, "ns/op")
	}
}

// platformCalls returns the platform calls of all entries so far by budget line,
// as read from their metrics.
func platformCalls(b *testing.B, d *deployment) map[string]float64 {
	sum := map[string]float64{}
	for _, n := range d.Nodes {
		resp, err := http.Get("http://" + n.Addr + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		sc := bufio.NewScanner(resp.Body)
		for sc.Scan() {
			rest, ok := strings.CutPrefix(sc.Text(), `auburnnotch_platform_calls{line="`)
			if !ok {
				continue
			}
			line, value, _ := strings.Cut(rest, `"} `)
			var n float64
			_, _ = fmt.Sscan(value, &n)
			sum[line] += n
		}
		_ = resp.Body.Close()
	}
	return sum
}
