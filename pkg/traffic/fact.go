package traffic

// StoreRecord is what one key of the platform's store says: a *Catalog, an *Upstream,
// a *Weights, a *Node, an
// *Issuer or a *Namings.
type StoreRecord interface{ fact() }

func (*Catalog) fact()       {}
func (*Upstream) fact()      {}
func (*Weights) fact()       {}
func (*Node) fact()          {}
func (*Leader) fact()        {}
func (*Announcements) fact() {}
