package token_test

import (
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/token"
)

func TestTokenIsValidOnlyForItsWorkspace(t *testing.T) {
	s := token.New("secret of the nodes")
	p := token.Position{Attempt: "a-1", Upstream: "engine", Incarnation: "i", Offset: 7}
	text := s.Prefix("w", p) + "7"
	if got, err := s.Parse("w", text); err != nil || got != p {
		t.Fatalf("parsed %+v, error %v", got, err)
	}
	for name, c := range map[string]struct{ workspace, text string }{
		"another workspace": {"x", text},
		"another attempt":   {"w", strings.Replace(text, "a-1", "a-2", 1)},
		"no offset":         {"w", s.Prefix("w", p)},
		"negative offset":   {"w", s.Prefix("w", p) + "-1"},
		"nonsense":          {"w", "nonsense"},
	} {
		if _, err := s.Parse(c.workspace, c.text); err == nil {
			t.Errorf("%s: the token was accepted", name)
		}
	}
	if _, err := token.New("another secret").Parse("w", text); err == nil {
		t.Error("a token signed with another secret was accepted")
	}
}
