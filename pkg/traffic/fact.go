package traffic

// StoreRecord is what one key of the platform's store says: a *Catalog, an *Upstream,
// a *Weights, a *Node, an
// *Issuer or a *Namings.
type StoreRecord interface{ storeRecord() }

func (*Catalog) storeRecord()       {}
func (*Upstream) storeRecord()      {}
func (*Weights) storeRecord()       {}
func (*Node) storeRecord()          {}
func (*Leader) storeRecord()        {}
func (*Announcements) storeRecord() {}
