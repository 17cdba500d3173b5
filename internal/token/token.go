// Package token creates and parses the event IDs of a stream. They are signed, and a
// caller can resume its stream with one of them at any entry node.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Position is a position in a stream: the attempt that sent it and an offset.
type Position struct {
	Attempt     string
	Upstream    string
	Incarnation string
	// Offset is the offset of the last chunk that the caller received.
	Offset int
}

// Signer creates and verifies tokens with the secret that all nodes share. It is
// immutable and safe for concurrent use.
type Signer struct{ key []byte }

// New returns a Signer whose key is derived from secret.
func New(secret string) Signer {
	sum := sha256.Sum256([]byte("token\x00" + secret))
	return Signer{key: sum[:]}
}

const signatureBytes = 9

func (s Signer) sign(workspace, text string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(workspace + "\x00" + text))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureBytes])
}

// Prefix returns the part of the tokens that all chunks of an attempt share. A token
// is the prefix followed by the offset of a chunk.
func (s Signer) Prefix(workspace string, p Position) string {
	text := strings.Join([]string{p.Attempt, p.Upstream, p.Incarnation}, "~")
	return text + "~" + s.sign(workspace, text) + "~"
}

// Parse verifies and decodes a token that was created for workspace.
func (s Signer) Parse(workspace, text string) (Position, error) {
	parts := strings.Split(text, "~")
	const fields = 5
	if len(parts) != fields {
		return Position{}, errors.NotValidf("Last-Event-ID: form")
	}
	signed := strings.Join(parts[:3], "~")
	if !hmac.Equal([]byte(parts[3]), []byte(s.sign(workspace, signed))) {
		return Position{}, errors.NotValidf("Last-Event-ID: signature")
	}
	offset, err := strconv.Atoi(parts[4])
	if err != nil || offset < 0 {
		return Position{}, errors.NotValidf("Last-Event-ID: offset")
	}
	return Position{Attempt: parts[0], Upstream: parts[1], Incarnation: parts[2], Offset: offset}, nil
}
