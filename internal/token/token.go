// Package token makes and reads the event IDs of a stream, by which a caller
// resumes it at any entry.
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Position is where a stream stands.
type Position struct {
	Attempt     string
	Upstream    string
	Incarnation string
	// Offset is that of the last chunk that the caller has.
	Offset int
}

// Signer makes and checks tokens with the secret that all nodes share. It is
// immutable and safe for concurrent use.
type Signer struct{ key []byte }

// New returns a Signer of secret.
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

// Prefix returns the part of the tokens that all chunks of an attempt share.
func (s Signer) Prefix(workspace string, p Position) string {
	text := strings.Join([]string{p.Attempt, p.Upstream, p.Incarnation}, "~")
	return text + "~" + s.sign(workspace, text) + "~"
}

// Parse reads a token that was made for workspace.
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
