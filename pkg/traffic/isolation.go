package traffic

// Isolations are the names of workspaces that are or were isolated, as kept in the store.
type Isolations struct {
	Names    []string // oldest first
	Revision uint64
	// Unreadable is set if the record couldn't be decoded.
	Unreadable bool
}

// CacheEpoch is the period for which the store keeps the names of isolated workspaces. Cached
// parts of one epoch aren't found in another.
type CacheEpoch struct {
	// ID tells epochs apart; 0 if there is none.
	ID uint64
	// Config is the revision of a configuration. Each workspace that it or, since the epoch
	// began, an earlier one isolated is either isolated in it or in the list of names.
	Config uint64
	// NamesHash is the hash of that list.
	NamesHash uint64
	// Members is the digest of the workspaces that aren't isolated, empty if these have
	// changed since the epoch began.
	Members string
	// Revision is that of the record, 0 if there is none.
	Revision uint64
}
