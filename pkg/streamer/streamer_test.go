package streamer_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/auburnnotch/auburnnotch/pkg/streamer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // makes the result reproducible
	os.Exit(m.Run())
}

// TestWrittenChunksArePrefixOfResponse truncates, duplicates and reorders the
// chunks of several attempts and mixes in chunks of foreign ones. The written
// chunks must always be a prefix of the response, and all of it if the stream is
// reported as complete.
func TestWrittenChunksArePrefixOfResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "length")
		s := streamer.New(0)
		var out strings.Builder
		attempts := rapid.IntRange(1, 6).Draw(t, "attempts")
		for a := range attempts {
			id := fmt.Sprint("attempt-", a)
			s = s.WithAttempt(id)
			for range rapid.IntRange(0, 40).Draw(t, "deliveries") {
				from := id
				if rapid.IntRange(0, 4).Draw(t, "crossed") == 0 {
					from = "attempt-of-another"
				}
				offset := rapid.IntRange(max(0, s.NextOffset()-2), min(n-1, s.NextOffset()+1)).Draw(t, "offset")
				next, v := s.Accept(from, offset)
				if v == streamer.Write {
					if from != id {
						t.Fatal("wrote a chunk of another attempt")
					}
					fmt.Fprintf(&out, "%d,", offset)
				}
				s = next
				if s.NextOffset() == n {
					break
				}
			}
			if s.Complete(id, n) {
				break
			}
		}
		var want strings.Builder
		for i := range s.NextOffset() {
			fmt.Fprintf(&want, "%d,", i)
		}
		if out.String() != want.String() {
			t.Fatalf("wrote %s, want %s", out.String(), want.String())
		}
		if s.Complete(fmt.Sprint("attempt-", attempts-1), n) && s.NextOffset() != n {
			t.Fatal("an incomplete stream is reported as complete")
		}
	})
}
