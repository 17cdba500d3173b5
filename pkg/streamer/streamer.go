// Package streamer keeps a response stream complete and in order across several
// attempts: it accepts only the chunk with the next offset, and only from the
// current attempt.
package streamer

// Verdict states how to handle a chunk.
type Verdict uint8

// The verdicts.
const (
	// Write means that the chunk is the next one and is written to the caller.
	Write Verdict = iota + 1
	// Drop means that the chunk is a duplicate or belongs to another attempt.
	Drop
	// Gap means that at least one chunk before it is missing.
	Gap
)

// Streamer is the state of one stream. It is an immutable value: methods return
// the new state.
type Streamer struct {
	attempt string
	next    int
}

// New returns a Streamer whose next chunk has the offset from.
func New(from int) Streamer { return Streamer{next: from} }

// WithAttempt returns s with id as the current attempt.
func (s Streamer) WithAttempt(id string) Streamer {
	s.attempt = id
	return s
}

// NextOffset returns the offset of the next chunk to write.
func (s Streamer) NextOffset() int { return s.next }

// Accept returns the verdict on a chunk and the state after it.
func (s Streamer) Accept(attempt string, offset int) (Streamer, Verdict) {
	switch {
	case attempt != s.attempt || offset < s.next:
		return s, Drop
	case offset > s.next:
		return s, Gap
	}
	s.next++
	return s, Write
}

// Complete reports whether every chunk was written when the end mark of attempt
// arrives with the offset total.
func (s Streamer) Complete(attempt string, total int) bool {
	return attempt == s.attempt && total == s.next
}
