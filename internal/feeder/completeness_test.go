package feeder_test

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// knowsAll reports whether a node knows all isolated workspaces.
func knowsAll(obs *observer.Observer) bool { return obs.Snapshot().Isolations.Complete() }

// recordEpoch stores that the list of isolated workspaces is complete up to the configuration.
func (f *fleet) recordEpoch() {
	f.t.Helper()
	config, ok := f.store.Item("ops/config")
	if !ok {
		f.t.Fatal("there is no configuration")
	}
	f.store.Set("epoch", strconv.FormatUint(config.Revision, 10))
}

// newRecordedFleet returns a fleet of which all nodes know all isolated workspaces.
func newRecordedFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	f := newFleet(t, nodes, traffic.CurrentProtocol)
	for r := range readers {
		f.store.Set(fmt.Sprint("node/n", r), "")
	}
	f.recordEpoch()
	f.until("the record", knowsAll)
	return f
}

// Guards against prompts that find no cached parts for a while after each configuration, since nodes
// don't know yet whether they have missed one that isolated a workspace. The datagrams of a
// reader that has just missed one don't count.
func TestNodesKnowAtOnceThatTheyMissedNoIsolation(t *testing.T) {
	for name, lossRate := range map[string]float64{"no loss": 0, "a tenth of the datagrams is lost": 0.1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRecordedFleet(t, 20)
				f.lossRate = lossRate
				for version := 2; version < 12; version++ {
					f.store.Set("ops/config", strconv.Itoa(version))
					for range 50 {
						f.step()
						for i, obs := range f.obs {
							if !knowsAll(obs) {
								t.Fatalf("node %d, on configuration %d of %d, may have missed one", i, configVersion(obs), version)
							}
						}
					}
					f.until("the configuration", func(obs *observer.Observer) bool { return configVersion(obs) == uint64(version) })
				}
			})
		})
	}
}

// Guards against WALL: the readers missed a configuration, which may have isolated a workspace, and
// other nodes took what they sent for complete.
func TestNodesOfReadersThatMissedAConfigurationWaitForTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRecordedFleet(t, 6)
		f.store.Set("ops/config", "2")
		f.store.Set("ops/config", "3")
		f.store.Compact()
		f.until("the configuration", func(obs *observer.Observer) bool { return configVersion(obs) == 3 })
		for range 200 {
			f.step()
			for i, obs := range f.obs {
				if knowsAll(obs) {
					t.Fatalf("node %d claims to know all isolated workspaces", i)
				}
			}
		}
		f.recordEpoch()
		if took := f.until("the record", knowsAll); took > 3*time.Second {
			t.Errorf("the record reached the last node after %v", took)
		}
	})
}

// Guards against WALL: a node that hasn't got a configuration, since it is too large for a datagram, counted
// the workspaces that it isolates as known.
func TestNodeWithoutTheConfigurationKnowsNotAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRecordedFleet(t, 4)
		const later = 1 << 40
		obs := f.obs[2]
		d, _ := f.obs[0].Digest()
		obs.ReceiveChanges("n0", observer.Changes{Since: d.Revision, To: d.Revision + 1, Hash: d.Hash, OperatorsOmitted: true})
		obs.ReceiveChanges("n0", observer.Changes{Since: d.Revision + 1, To: d.Revision + 1, Hash: d.Hash, CompleteTo: later})
		if got := obs.Snapshot().Isolations.CompleteTo(); got >= later {
			t.Errorf("knows all up to %d", got)
		}
	})
}
