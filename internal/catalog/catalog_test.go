package catalog_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
)

func largeDeclaration(workspaces, engines int) config.Declaration {
	d := declare.New().WithDataCentre("dc", "r").WithModel("m", "v").WithPool(declare.Pool("p", "m", "v", config.Standard)).Config()
	for i := range engines {
		vm := fmt.Sprint("vm-", i)
		d.VMs = append(d.VMs, declare.VM(vm, "dc"))
		d.Upstreams = append(d.Upstreams, declare.Engine(fmt.Sprint("engine-", i), vm, "http://10.1.2.3:8000", "p", 16, true))
	}
	for i := range workspaces {
		name := fmt.Sprint("workspace-", i)
		d.Workspaces = append(d.Workspaces, declare.Workspace(name, 1, declare.HashKey(name)))
	}
	return d
}

func TestKeySelectsOnlyItsWorkspace(t *testing.T) {
	c := catalog.New(1, largeDeclaration(3, 1))
	if w, ok := c.Workspace("workspace-1"); !ok || w.Name != "workspace-1" {
		t.Errorf("workspace %q, found %t", w.Name, ok)
	}
	for _, key := range []string{"", "workspace-9", declare.HashKey("workspace-1")} {
		if w, ok := c.Workspace(key); ok {
			t.Errorf("key %q matched workspace %s, want none", key, w.Name)
		}
	}
}

// BenchmarkConfiguration measures the size of a declaration and the time and memory
// that its catalog takes, by the number of workspaces and engines.
func BenchmarkConfiguration(b *testing.B) {
	for _, size := range []struct{ workspaces, engines int }{{8, 18}, {2200, 140}, {22_000, 1400}} {
		b.Run(fmt.Sprintf("workspaces=%d/engines=%d", size.workspaces, size.engines), func(b *testing.B) {
			text, err := json.Marshal(largeDeclaration(size.workspaces, size.engines))
			if err != nil {
				b.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC() // pooled buffers are released in the second cycle
			runtime.ReadMemStats(&before)
			var c *catalog.Catalog
			for b.Loop() {
				var d config.Declaration
				if err := json.Unmarshal(text, &d); err != nil {
					b.Fatal(err)
				}
				c = catalog.New(1, d)
			}
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(len(text))/1e6, "MB-text")
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "MB-in-force")
			runtime.KeepAlive(c)
		})
	}
}
