package claimer

// rebuildIndex builds the index from the sealed pages and the head.
func (c *Claimer) rebuildIndex() {
	clear(c.index)
	for _, name := range c.head.Sealed {
		c.applyRecords(c.sealedPages[name].Records)
	}
	c.indexHead()
	c.state = ready
}

// indexHead applies the records of the head to the index. It is idempotent.
func (c *Claimer) indexHead() {
	c.applyRecords(c.head.Records)
	c.headBytes = sizeOf(c.head.Records)
}

func (c *Claimer) applyRecords(records []Record) {
	for _, r := range records {
		existing, ok := c.index[r.Key]
		switch r.Op {
		case OpClaim:
			if !ok {
				c.index[r.Key] = claim{digest: r.Digest, nonce: r.Nonce, holder: r.Holder, expires: r.Expires}
			}
		case OpDone:
			if ok && existing.nonce == r.Nonce && existing.answer == nil {
				existing.answer = r.Answer
				c.index[r.Key] = existing
			}
		case OpRelease:
			if ok && existing.nonce == r.Nonce && existing.answer == nil {
				delete(c.index, r.Key)
			}
		}
	}
}
