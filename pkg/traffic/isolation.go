package traffic

// Isolations are the names of workspaces that are or were isolated, as kept in the store.
type Isolations struct {
	Names    []string // oldest first
	Revision uint64
	// Unreadable is set if the record couldn't be decoded.
	Unreadable bool
}
