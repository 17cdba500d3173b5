package entry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnnotch/auburnnotch/internal/registrar"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
)

// Guards against RECOVER: a node renewed its lease, but its key had been removed, and
// nobody was directed to it any more.
func TestNodeRestoresItsMissingRegistration(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 8)
	b.log.await(t, "event=officeTaken") // it has read its registration
	b.store.Delete(registrar.Prefix + "n")
	b.log.await(t, "event=registrationReplaced")
	b.log.awaitCount(t, "event=registered", 2)
}

// Guards against DRAIN: a node that had just started directed callers to a node that was
// off, whose registration hadn't expired yet.
func TestDirectoryNamesNoNodeThatWasNeverHeard(t *testing.T) {
	t.Parallel()
	off := traffic.Node{Name: "off", DataCentre: "a", Entry: testlib.NewAddress(t), Peer: testlib.NewAddress(t)}
	value, err := msgpack.Marshal(&off)
	if err != nil {
		t.Fatal(err)
	}
	store := metastore.New(systemclock.New())
	store.Put(registrar.Prefix+off.Name, value) // the node's first read has it
	b := newFixtureWithStore(t, store, 8)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		// A directory that doesn't know any responds with an error.
		switch addresses, _, _ := client.Resolve(b.directory, "a", 5*time.Second); {
		case slices.Contains(addresses, off.Entry):
			t.Fatalf("the directory names %v, of which %s is off", addresses, off.Entry)
		case slices.Contains(addresses, b.callers):
			return
		}
	}
	t.Error("the directory doesn't name the node itself")
}
