package router

// window estimates how long an engine keeps a piece, measured in pieces that
// this node has had computed there since. Engines evict the least recently
// used piece, so that the distance stays right when the load changes.
type window struct {
	inserted uint32
	size     float64
}

const (
	firstWindow = 1 << 12
	minWindow   = 8
	maxWindow   = 1 << 20
	shrink      = 0.9
	grow        = 1.02
)

func newWindow() window { return window{size: firstWindow} }

func (w *window) insert(pieces int) { w.inserted += uint32(pieces) }

func (w *window) evicted(at uint32) bool { return float64(w.inserted-at) > w.size }

// learn compares the expected hits of an answer with the engine's own count.
func (w *window) learn(expected, found int) {
	switch {
	case found < expected:
		w.size = max(minWindow, w.size*shrink)
	case expected > 0 || found > 0:
		w.size = min(maxWindow, w.size*grow)
	}
}
