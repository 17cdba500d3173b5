package traffic

import "time"

// Rejections is what the fleet rejects since it crashes upstreams, as kept in the store.
type Rejections struct {
	Rejections []Rejection
	Revision   uint64
}

// Rejection describes requests that are rejected: those with all of its features.
type Rejection struct {
	Features []uint64 // hashes, sorted
	Until    time.Time
}
