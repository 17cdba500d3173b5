package front_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Guards against WALL: a workspace finds the cached parts of another one. Each has a salt of its own,
// which no change of the others alters.
func TestWorkspacesShareNoSalt(t *testing.T) {
	salts := make(chan string, 1)
	f := newFixture(t, config.Limits{}, func(conn net.Conn, r testlib.Received) bool {
		if salt := r.Header.Get(wire.HeaderSalt); salt != "" {
			select {
			case salts <- salt:
			default:
			}
		}
		return answer(conn, r)
	})
	salt := func(key string) string {
		t.Helper()
		select {
		case <-salts: // of the attempt before
		default:
		}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.addr+"/v1/chat/completions", strings.NewReader(chatBody))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return <-salts
	}
	first := salt(testlib.Key)
	f.declare(t, f.declaration().WithWorkspace(declare.Workspace("other", 1, declare.HashKey("another key"))))
	await(t, "the second workspace", func() bool { return f.inForce() >= 2 })
	if again, other := salt(testlib.Key), salt("another key"); again != first || other == first {
		t.Errorf("salt %q, then %q; %q of another workspace", first, again, other)
	}
}
