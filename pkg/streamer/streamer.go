// Package streamer keeps a stream complete and in order: it accepts only the
// next offset of the current attempt.
package streamer

// Verdict says what to do with a chunk.
type Verdict uint8

// The verdicts.
const (
	// Write means that the chunk is the next one.
	Write Verdict = iota + 1
	// Drop means that the chunk was seen before or belongs to an attempt that
	// was given up.
	Drop
	// Gap means that a chunk before it is missing.
	Gap
)

// Streamer is the state of one stream. It is an immutable value.
type Streamer struct {
	attempt string
	next    int
}

// New returns a Streamer that waits for offset from.
func New(from int) Streamer { return Streamer{next: from} }

// WithAttempt returns s with the attempt whose chunks count from now on.
func (s Streamer) WithAttempt(id string) Streamer {
	s.attempt = id
	return s
}

// NextOffset returns the offset that is written next.
func (s Streamer) NextOffset() int { return s.next }

// Accept judges a chunk and returns the state after it.
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

// Complete reports whether an end mark at offset total of attempt leaves
// nothing out.
func (s Streamer) Complete(attempt string, total int) bool {
	return attempt == s.attempt && total == s.next
}
