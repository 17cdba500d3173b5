package entry_test

import (
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/registrar"
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
