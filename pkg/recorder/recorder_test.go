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

const (
	epoch    = 3
	newEpoch = 7
)

// recorded returns what the store holds if its list has the names, complete up to a configuration.
func recorded(config uint64, names ...string) recorder.Stored {
	var r recorder.Recorder
	s := r.WithWorkspaces(config, isolated(names...)).NextEpoch(epoch)
	s.Names = names
	return s
}

// started returns the Recorder of a node that started with the configuration at 10, which isolates
// workspaces, beside a list of names.
func started(workspaces, names []string) recorder.Recorder {
	slices.Sort(names)
	return recorder.Recorder{}.WithStored(recorded(10, names...)).WithWorkspaces(10, isolated(workspaces...)).WithStored(recorded(10, names...))
}

// followed returns r after the configuration at 20 came in force, none between having been missed.
func followed(r recorder.Recorder, workspaces ...string) recorder.Recorder {
	return r.WithWorkspaces(20, isolated(workspaces...)).WithHistory(10, 20)
}

// Guards against writes without need, and against names that are lost or written again and
// again because there is no room for all.
func TestNext(t *testing.T) {
	many, more := numbered("a", 256), numbered("b", 300)
	long := strings.Repeat("x", 1000)
	for name, c := range map[string]struct {
		r       recorder.Recorder
		next    []string
		epoch   uint64
		changed bool
	}{
		"no isolated workspace":             {started(nil, nil), nil, epoch, false},
		"another configuration":             {followed(started(nil, nil)), nil, epoch, true},
		"first isolated ones":               {followed(started(nil, nil), "b", "a", "a"), []string{"a", "b"}, epoch, true},
		"recorded":                          {started([]string{"a", "b"}, []string{"a", "b"}), []string{"a", "b"}, epoch, false},
		"removed before the record":         {followed(started([]string{"a"}, nil)), []string{"a"}, epoch, true},
		"removed after the record":          {followed(started([]string{"a"}, []string{"a"}), "b"), []string{"a", "b"}, epoch, true},
		"seen only in the history":          {started(nil, []string{"a"}).WithSuperseded(isolated("b")), []string{"a", "b"}, epoch, true},
		"list lost":                         {started([]string{"b"}, []string{"a"}).WithStored(recorder.Stored{Epoch: recorded(10, "a").Epoch}), []string{"a", "b"}, epoch, true},
		"names lost":                        {started(nil, []string{"a", "b"}).WithStored(recorder.Stored{Names: []string{"b"}, Readable: true, Epoch: recorded(10, "a", "b").Epoch}), []string{"b", "a"}, epoch, true},
		"epoch lost":                        {started(nil, []string{"a"}).WithStored(recorder.Stored{Names: []string{"a"}, Readable: true}), []string{"a"}, epoch, true},
		"no room for a removed one":         {followed(started([]string{"n"}, many)), nil, newEpoch, true},
		"listed ones wait for room":         {started([]string{"n"}, many), many, epoch, false},
		"removed ones displace listed ones": {followed(started(append(many[1:256:256], "n"), many), many[1:]...), append(many[:255:255], "n"), epoch, true},
		"too many at once":                  {followed(started(nil, nil), more...), more[:256], epoch, true},
		"many long ones":                    {followed(started(nil, []string{"a"}), numbered(long, 20)...), append([]string{"a"}, numbered(long, 20)[:14]...), epoch, true},
		"one that is too long":              {started([]string{long + long}, []string{"a"}), []string{"a"}, epoch, false},
	} {
		next, changed := c.r.Next(newEpoch)
		if !slices.Equal(next.Names, c.next) || next.Epoch.ID != c.epoch || changed != c.changed {
			t.Errorf("%s: next %v in epoch %d, changed %t, want %v, %d, %t", name, next.Names, next.Epoch.ID, changed, c.next, c.epoch, c.changed)
		}
		if !changed {
			continue
		}
		next.Epoch.Revision = 21
		r := c.r.WithStored(next)
		if again, changed := r.Next(newEpoch + 1); changed || !r.Complete() {
			t.Errorf("%s: written again as %v, complete %t", name, again.Names, r.Complete())
		}
	}
}

// Guards against a node that takes its list of names for complete, so that others find the parts of
// an isolated workspace that is missing in it.
func TestComplete(t *testing.T) {
	tooLong := strings.Repeat("x", 2000)
	newer := recorded(20, "a")
	otherEpoch := recorded(10)
	otherEpoch.Epoch.ID++
	shortened := recorded(10, "a")
	shortened.Names = nil
	for name, c := range map[string]struct {
		r    recorder.Recorder
		want bool
	}{
		"the record is of the configuration":     {started(nil, []string{"a"}), true},
		"no record":                              {recorder.Recorder{}.WithWorkspaces(10, isolated()), false},
		"no configuration":                       {recorder.Recorder{}.WithStored(recorded(10)), false},
		"the record is of an earlier one":        {recorder.Recorder{}.WithWorkspaces(20, isolated()).WithStored(recorded(10)), false},
		"the record is of a later one":           {recorder.Recorder{}.WithWorkspaces(10, isolated()).WithStored(newer), false},
		"a configuration may have been missed":   {started(nil, nil).WithWorkspaces(20, isolated()), false},
		"no configuration was missed":            {followed(started(nil, nil)), true},
		"some before were":                       {started(nil, nil).WithWorkspaces(20, isolated()).WithHistory(15, 20), false},
		"a peer tells":                           {started(nil, nil).WithWorkspaces(20, isolated()).WithCompleteTo(20), true},
		"another epoch":                          {started(nil, nil).WithStored(otherEpoch), true},
		"another epoch, of a later one":          {started(nil, nil).WithStored(recorder.Stored{Readable: true, Epoch: traffic.CacheEpoch{ID: epoch + 1, Config: 20, NamesHash: newer.Epoch.NamesHash}}), false},
		"names are missing in the list at start": {recorder.Recorder{}.WithWorkspaces(10, isolated()).WithStored(shortened), false},
		"names vanished from the list":           {started(nil, []string{"a"}).WithStored(shortened), true},
		"a name is too long to be kept":          {followed(started([]string{tooLong}, nil)), false},
		"a name is too long, still isolated":     {followed(started([]string{tooLong}, nil), tooLong), true},
		"no room":                                {followed(started(numbered("b", 300), nil)), false},
	} {
		if c.r.Complete() != c.want {
			t.Errorf("%s: complete %t", name, c.r.Complete())
		}
	}
	if past := started(nil, []string{"a"}).WithStored(shortened).History().Past; !slices.Equal(past, []string{"a"}) {
		t.Errorf("past %v after the list lost a", past)
	}
}

// Guards against shared parts that are cold once more when the workspaces are again those of the
// beginning of the epoch.
func TestMembersOfEpochStayChanged(t *testing.T) {
	r := started(nil, nil)
	before := r.History().Members
	added := append(isolated(), traffic.Workspace{Name: "new"})
	next, _ := r.WithWorkspaces(20, added).WithHistory(10, 20).Next(newEpoch)
	r = r.WithWorkspaces(20, added).WithHistory(10, 20).WithStored(next).WithWorkspaces(30, isolated()).WithHistory(20, 30)
	again, _ := r.Next(newEpoch)
	if before == "" || next.Epoch.Members != "" || again.Epoch.Members != "" {
		t.Errorf("members %q, then %q and %q", before, next.Epoch.Members, again.Epoch.Members)
	}
}

// Guards against a node that is behind and takes back what another one has recorded.
func TestRecordOfLaterConfigurationStays(t *testing.T) {
	r := started(nil, nil).WithSuperseded(isolated("b")).WithStored(recorded(20))
	if next, changed := r.Next(newEpoch); !changed || next.Epoch.Config != 20 || !slices.Equal(next.Names, []string{"b"}) {
		t.Errorf("next %+v, changed %t, want the name and the configuration at 20", next, changed)
	}
	other := recorded(20)
	other.Epoch.NamesHash++ // of names that the node doesn't know
	if next, changed := started(nil, nil).WithStored(other).Next(newEpoch); changed {
		t.Errorf("replaced by %+v", next)
	}
}

// Guards against a node whose peers rely on names that it alone knows.
func TestRecordedToIsWithoutUnstoredNames(t *testing.T) {
	for name, c := range map[string]struct {
		r    recorder.Recorder
		want uint64
	}{
		"stored":         {followed(started(nil, nil), "b"), 20},
		"not stored":     {followed(started([]string{"b"}, nil)), 0},
		"not complete":   {started(nil, nil).WithWorkspaces(20, isolated()), 0},
		"stored, listed": {started([]string{"a", "b"}, []string{"a"}), 10},
	} {
		if got := c.r.RecordedTo(); got != c.want {
			t.Errorf("%s: recorded up to %d, want %d", name, got, c.want)
		}
	}
}
