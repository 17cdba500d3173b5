package claimer

// rebuild folds the pages into the index.
func (c *Claimer) rebuild() {
	clear(c.index)
	for _, name := range c.head.Sealed {
		c.fold(c.loaded[name].Records)
	}
	c.rebuildHead()
	c.state = ready
}

// rebuildHead folds the records of the head, which is idempotent.
func (c *Claimer) rebuildHead() {
	c.fold(c.head.Records)
	c.size = sizeOf(c.head.Records)
}

func (c *Claimer) fold(records []Record) {
	for _, r := range records {
		old, ok := c.index[r.Key]
		switch r.Op {
		case OpClaim:
			if !ok {
				c.index[r.Key] = entry{digest: r.Digest, nonce: r.Nonce, holder: r.Holder, expires: r.Expires}
			}
		case OpDone:
			if ok && old.nonce == r.Nonce && old.answer == nil {
				old.answer = r.Answer
				c.index[r.Key] = old
			}
		case OpRelease:
			if ok && old.nonce == r.Nonce && old.answer == nil {
				delete(c.index, r.Key)
			}
		}
	}
}
