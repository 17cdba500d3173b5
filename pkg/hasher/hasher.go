// Package hasher splits a prompt into pieces of a fixed size and computes a
// chain of hashes, which identify the pieces in the caches of the engines.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Chain holds one hash for each whole piece of a prompt. Entry i covers the
// cache scope and the pieces 0 to i.
type Chain []uint64

// Scope is the cache scope: everything besides the text that a cached piece
// depends on.
type Scope struct {
	Salt    string // salt of the workspace
	Model   string
	Version string // version of the model's weights
}

// Hasher hashes prompts in pieces of a fixed size. It is immutable and safe
// for concurrent use.
type Hasher struct {
	pieceBytes int
}

// New returns a Hasher that splits prompts into pieces of pieceBytes bytes.
func New(pieceBytes int) Hasher { return Hasher{pieceBytes: max(1, pieceBytes)} }

// WithPieceBytes returns a Hasher for another piece size.
func (h Hasher) WithPieceBytes(n int) Hasher { return New(n) }

// PieceBytes returns the size of a piece in bytes.
func (h Hasher) PieceBytes() int { return h.pieceBytes }

// Seed returns the hash from which chains in the scope s start.
func (h Hasher) Seed(s Scope) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{s.Salt, s.Model, s.Version} {
		var n [4]byte
		binary.LittleEndian.PutUint32(n[:], uint32(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// Append appends the chain of prompt, starting from seed, to dst and returns it.
// A partial last piece gets no entry. A prompt shorter than one piece gets one
// entry for its whole text, so that equal short prompts go to the same engine.
func (h Hasher) Append(dst Chain, seed uint64, prompt []byte) Chain {
	if len(prompt) < h.pieceBytes {
		return append(dst, chainHash(seed, prompt))
	}
	for len(prompt) >= h.pieceBytes {
		seed = chainHash(seed, prompt[:h.pieceBytes])
		dst = append(dst, seed)
		prompt = prompt[h.pieceBytes:]
	}
	return dst
}

// chainHash returns the hash of piece chained to the previous hash.
func chainHash(prev uint64, piece []byte) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], prev)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64(piece))
	return xxhash.Sum64(b[:])
}
