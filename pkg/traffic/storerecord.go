package traffic

// StoreRecord is the decoded value of one key of the platform's store: a *Catalog,
// an *Upstream, a *Weights, a *Node, a *Leader, an *Announcements, a *Rejections
// an *Isolations or a *CacheEpoch.
type StoreRecord interface{ storeRecord() }

func (*Catalog) storeRecord()       {}
func (*Upstream) storeRecord()      {}
func (*Weights) storeRecord()       {}
func (*Node) storeRecord()          {}
func (*Leader) storeRecord()        {}
func (*Announcements) storeRecord() {}
func (*Rejections) storeRecord()    {}
func (*Isolations) storeRecord()    {}
func (*CacheEpoch) storeRecord()    {}
