package checker

import "time"

const (
	// leftDelay is how long after its caller has left a request may still reach an upstream, and
	// maxLeft how many may after that.
	leftDelay = 500 * time.Millisecond
	maxLeft   = 3
)

// Left is a request whose caller has closed its connection right after sending it.
type Left struct {
	ID string
	At time.Time
}

// checkLeft checks that hardly a request reaches an upstream long after its caller has left.
func (v *validation) checkLeft() {
	var late []string
	for _, l := range v.history.Left {
		for _, run := range v.runs[l.ID] {
			if run.StartedAt.After(l.At.Add(leftDelay)) {
				late = append(late, l.ID)
			}
		}
	}
	if len(late) > maxLeft {
		v.add("gone", late[0], "%d requests reached upstreams over %v after their callers had left", len(late), leftDelay)
	}
}

// hasLeft returns the IDs of the requests whose callers have left.
func (h *History) hasLeft() map[string]bool {
	out := map[string]bool{}
	for _, l := range h.Left {
		out[l.ID] = true
	}
	return out
}
