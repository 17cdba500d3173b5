package recorder_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/pkg/recorder"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

func isolated(names ...string) []traffic.Workspace {
	out := []traffic.Workspace{{Name: "shared"}}
	for _, name := range names {
		out = append(out, traffic.Workspace{Name: name, Isolated: true})
	}
	return out
}

func numbered(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%03d", prefix, i)
	}
	return out
}

// Guards against writes without need, and against names that are lost or written again and
// again because there is no room for all.
func TestNext(t *testing.T) {
	many, more := numbered("a", 256), numbered("b", 300)
	long := strings.Repeat("x", 1000)
	for name, c := range map[string]struct {
		r             recorder.Recorder
		next, dropped []string
		changed       bool
	}{
		"no isolated workspace":             {recorder.Recorder{}.WithWorkspaces(isolated()), nil, nil, false},
		"first isolated ones":               {recorder.Recorder{}.WithWorkspaces(isolated("b", "a", "a")), []string{"a", "b"}, nil, true},
		"recorded":                          {recorder.Recorder{}.WithRecord([]string{"b", "a"}).WithWorkspaces(isolated("a", "b")), []string{"b", "a"}, nil, false},
		"removed before the record":         {recorder.Recorder{}.WithWorkspaces(isolated("a")).WithWorkspaces(isolated()), []string{"a"}, nil, true},
		"removed after the record":          {recorder.Recorder{}.WithRecord([]string{"a"}).WithWorkspaces(isolated("a")).WithWorkspaces(isolated("b")), []string{"a", "b"}, nil, true},
		"record lost":                       {recorder.Recorder{}.WithRecord([]string{"a"}).WithWorkspaces(isolated("b")).WithoutRecord().WithoutRecord(), []string{"a", "b"}, nil, true},
		"the oldest is dropped":             {recorder.Recorder{}.WithRecord(many).WithWorkspaces(isolated("n")).WithWorkspaces(isolated()), append(many[1:256:256], "n"), many[:1], true},
		"dropped ones don't return":         {recorder.Recorder{}.WithRecord(many).WithRecord(append(many[1:256:256], "n")), append(many[1:256:256], "n"), nil, false},
		"listed ones wait for room":         {recorder.Recorder{}.WithRecord(many).WithWorkspaces(isolated("n")), many, nil, false},
		"removed ones displace listed ones": {recorder.Recorder{}.WithRecord(many).WithWorkspaces(isolated(append(many[1:], "n")...)).WithWorkspaces(isolated(many[1:]...)), append(many[:255:255], "n"), nil, true},
		"too many at once":                  {recorder.Recorder{}.WithWorkspaces(isolated(more...)), more[:256], nil, true},
		"too many removed before a record":  {recorder.Recorder{}.WithWorkspaces(isolated(more...)).WithWorkspaces(nil), more[44:], more[:44], true},
		"too many removed beside a record":  {recorder.Recorder{}.WithRecord(many).WithWorkspaces(isolated(more...)).WithWorkspaces(nil).WithRecord(many), more[44:], slices.Concat(many, more[:44]), true},
		"many long ones":                    {recorder.Recorder{}.WithRecord([]string{"a"}).WithWorkspaces(isolated(numbered(long, 20)...)).WithWorkspaces(nil), append([]string{"a"}, numbered(long, 20)[6:]...), numbered(long, 20)[:6], true},
		"one that is too long":              {recorder.Recorder{}.WithRecord([]string{"a"}).WithWorkspaces(isolated(long + long)), []string{"a"}, nil, false},
	} {
		next, dropped, changed := c.r.Next()
		slices.Sort(dropped)
		if !slices.Equal(next, c.next) || !slices.Equal(dropped, c.dropped) || changed != c.changed {
			t.Errorf("%s: next %v, dropped %v, changed %t, want %v, %v, %t", name, next, dropped, changed, c.next, c.dropped, c.changed)
		}
		if next, _, changed = c.r.WithRecord(c.next).Next(); changed {
			t.Errorf("%s: written again as %v", name, next)
		}
	}
}
