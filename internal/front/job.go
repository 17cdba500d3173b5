package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/segmentio/encoding/json"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// job is a caller's request that has been parsed and validated.
type job struct {
	id             string
	acceptedAt     time.Time
	deadline       time.Time
	key            string // of the workspace, as the caller sent it
	workspace      config.Workspace
	model          string // empty for requests to services
	class          config.Class
	method         string
	path           string // path at the upstream
	contentType    string
	body           []byte
	memory         *memorykeeper.Body // of body, nil if there is none
	pool           string
	isCompletion   bool // a completion, served by an engine
	streaming      bool
	repeatable     bool
	continuable    bool // another engine can continue its stream
	tokens         int
	chain          hasher.Chain
	fingerprint    quarantiner.Fingerprint
	idempotencyKey string
	claim          claimer.Request
	resume         *token.Position
}

const (
	bytesPerToken           = 4
	defaultOutputTokens     = 256
	maxRequestTokens        = 1 << 20
	maxIdempotencyKeyLength = 255
)

// release returns the memory of the request.
func (j *job) release() {
	if j.memory != nil {
		j.memory.Release()
	}
}

// receive reads a caller's request, as far as it needs no knowledge of its path. Its errors
// have a failure.Kind; a part of the body may then be unread.
func (f *Front) receive(w http.ResponseWriter, r *http.Request) (*job, error) {
	c := f.config.Current()
	if c == nil {
		return nil, failure.New(failure.NoUpstream, "no configuration is in force yet; apply one or try another entry")
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	ws, ok := c.Workspace(key)
	if !ok {
		return nil, failure.New(failure.Unauthorized, "send Authorization: Bearer with a key of a declared workspace")
	}
	j := &job{
		id: uuid.NewString(), acceptedAt: f.clk.Now(), key: key, workspace: ws,
		method: r.Method, contentType: r.Header.Get("Content-Type"),
	}
	if err := f.setDeadline(r, j); err != nil {
		return nil, err
	}
	if err := f.readBody(w, r, j); err != nil {
		return nil, err
	}
	return j, nil
}

// parse validates a request that was received. Its errors have a failure.Kind.
func (f *Front) parse(r *http.Request, j *job) error {
	c := f.config.Current()
	service, rest, isService := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
	var err error
	if isService && strings.HasPrefix(r.URL.Path, "/v1/services/") {
		err = f.parseService(c, r, j, service, "/"+rest)
	} else {
		err = f.parseCompletion(c, r, j)
	}
	if err != nil {
		return err
	}
	j.fingerprint = quarantiner.Fingerprint(xxhash.Sum64String(j.workspace.Name+j.path) ^ xxhash.Sum64(j.body))
	return nil
}

// permission returns why the workspace of j may no longer send it, or failure.None.
func (f *Front) permission(j *job) failure.Kind {
	ws, ok := f.config.Current().Workspace(j.key)
	switch {
	case !ok || ws.Name != j.workspace.Name:
		return failure.Unauthorized
	case j.model != "" && !mayUseModel(ws, j.model):
		return failure.UnknownModel
	}
	return failure.None
}

// setDeadline takes the deadline from the request's header. Without the header,
// the longest allowed time applies.
func (f *Front) setDeadline(r *http.Request, j *job) error {
	d := config.Seconds(f.limits.RequestSeconds)
	if raw := r.Header.Get(wire.HeaderDeadline); raw != "" {
		s, err := strconv.ParseFloat(raw, 64)
		if err != nil || s <= 0 || config.Seconds(s) > d {
			return failure.New(failure.BadRequest, "%s: %q is no number of seconds from 0 to %v", wire.HeaderDeadline, raw, d.Seconds())
		}
		d = config.Seconds(s)
	}
	j.deadline = j.acceptedAt.Add(d)
	return nil
}

// completion holds the fields of a completion request that the router reads.
type completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// decodeCompletion parses b, which must hold a single JSON value. It copies
// nothing: dst refers to the bytes of b.
func decodeCompletion(b []byte, dst *completion) error {
	rest, err := json.Parse(b, dst, json.ZeroCopy)
	if err == nil && len(bytes.TrimSpace(rest)) > 0 {
		err = errors.NotValidf("text after the JSON value")
	}
	return err
}

func (f *Front) parseCompletion(c *catalog.Catalog, r *http.Request, j *job) error {
	var body completion
	if err := decodeCompletion(j.body, &body); err != nil {
		return failure.Wrap(failure.BadRequest, err, "body: is no valid JSON of a completion; send an OpenAI completion request")
	}
	j.path, j.contentType, j.isCompletion, j.repeatable = r.URL.Path, "application/json", true, true
	prompt, text := "prompt", body.Prompt
	if strings.HasSuffix(j.path, "/chat/completions") {
		prompt, text = "messages", body.Messages
	}
	pool, ok := c.PoolForModel(body.Model)
	if !ok || !mayUseModel(j.workspace, body.Model) {
		return failure.New(failure.UnknownModel, "model: %q is not declared for this workspace", body.Model)
	}
	if len(text) == 0 || prompt == "messages" && text[0] != '[' {
		return failure.New(failure.BadRequest, "%s: is missing or of the wrong type", prompt)
	}
	j.model, j.pool, j.streaming, j.continuable = body.Model, pool.Name, body.Stream, true
	j.class = pool.Class
	if err := setClass(r, j); err != nil {
		return err
	}
	outputTokens := body.MaxTokens
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	j.tokens = len(text)/bytesPerToken + outputTokens
	if j.tokens > maxRequestTokens {
		return failure.New(failure.TooLarge, "%s: about %d tokens; %d is the limit", prompt, j.tokens, maxRequestTokens)
	}
	seed := c.Hasher.Seed(hasher.Scope{Salt: catalog.Salt(j.workspace.Name), Model: pool.Model, Version: pool.Version})
	j.chain = c.Hasher.Append(make(hasher.Chain, 0, len(text)/c.Hasher.PieceBytes()+1), seed, text)
	return f.setResume(r, j)
}

// mayUseModel reports whether w may use model. A workspace without a list of
// models may use all.
func mayUseModel(w config.Workspace, model string) bool {
	for _, m := range w.Models {
		if m == model {
			return true
		}
	}
	return len(w.Models) == 0
}

// setClass applies the class in the request's header, if there is one.
func setClass(r *http.Request, j *job) error {
	raw := config.Class(r.Header.Get(wire.HeaderClass))
	switch raw {
	case "":
	case config.Interactive, config.Standard, config.Batch:
		j.class = raw
	default:
		return failure.New(failure.BadRequest, "%s: %q is none of interactive, standard, batch", wire.HeaderClass, raw)
	}
	return nil
}

// setResume sets the point from which the caller resumes a stream, if the request
// has a Last-Event-ID header.
func (f *Front) setResume(r *http.Request, j *job) error {
	raw := r.Header.Get(wire.HeaderLastEventID)
	if raw == "" {
		return nil
	}
	p, err := f.signer.Parse(j.workspace.Name, raw)
	if err != nil || !j.streaming {
		return failure.New(failure.BadRequest, "%s: is no event ID of a stream of this workspace", wire.HeaderLastEventID)
	}
	j.resume = &p
	return nil
}

func (f *Front) parseService(c *catalog.Catalog, r *http.Request, j *job, service, path string) error {
	route, ok := c.Route(service, path)
	if !ok {
		return failure.New(failure.UnknownRoute, "service %q has no route %q", service, path)
	}
	j.path, j.pool, j.class, j.repeatable = path, catalog.ServicePoolPrefix+service, route.Class, route.Repeatable
	j.tokens = 1
	if err := setClass(r, j); err != nil || route.Repeatable {
		return err
	}
	j.idempotencyKey = r.Header.Get(wire.HeaderIdempotencyKey)
	if j.idempotencyKey == "" || len(j.idempotencyKey) > maxIdempotencyKeyLength {
		return failure.New(failure.MissingKey, "%s: this route may not be repeated; send a key of 1 to %d characters that is unique for the request", wire.HeaderIdempotencyKey, maxIdempotencyKeyLength)
	}
	latest, err := f.latestClaimTime(j.idempotencyKey, route.KeepDays)
	if err != nil {
		return err
	}
	j.claim = claimer.Request{
		Latest: latest, Expires: claimExpiry(latest),
		Key:    digest(j.workspace.Name, service, path, j.idempotencyKey),
		Digest: claimer.Digest(digest(j.method, j.contentType, string(j.body))),
		Nonce:  f.ledger.NewNonce(), Holder: f.ledger.Holder(),
	}
	return nil
}

const (
	day = 24 * time.Hour
	// maxClockSkew is how far the clock of a caller may be ahead of this node's.
	maxClockSkew = 5 * time.Minute
)

// claimExpiry returns when a claim expires that can be made until latest. The
// zero time means never.
func claimExpiry(latest time.Time) time.Time {
	if latest.IsZero() {
		return latest
	}
	return latest.Add(day)
}

// latestClaimTime returns the latest time at which a claim under key may be made;
// zero means no limit. A route whose claims expire after keepDays accepts only
// UUIDv7 keys, since those contain a timestamp, and rejects keys that are too
// old, whose claims may have expired.
func (f *Front) latestClaimTime(key string, keepDays int) (time.Time, error) {
	if keepDays == 0 {
		return time.Time{}, nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, failure.New(failure.MissingKey, "%s: this route takes keys of the form UUIDv7", wire.HeaderIdempotencyKey)
	}
	sec, nsec := id.Time().UnixTime()
	keyTime, now := time.Unix(sec, nsec), f.clk.Now()
	latest := keyTime.Add(time.Duration(keepDays) * day)
	switch {
	case keyTime.After(now.Add(maxClockSkew)):
		return time.Time{}, failure.New(failure.MissingKey, "%s: its time lies ahead; set the clock", wire.HeaderIdempotencyKey)
	case now.After(latest):
		return time.Time{}, failure.New(failure.KeyExpired, "%s: is older than %d days; whether it ran is no longer known", wire.HeaderIdempotencyKey, keepDays)
	}
	return latest, nil
}

// digest returns the first 16 bytes of the SHA-256 of parts. The length of each
// part is hashed before it, so that the boundaries between parts count.
func digest(parts ...string) claimer.Key {
	var (
		k claimer.Key
		b []byte
	)
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(p)))
		b = append(b, p...)
	}
	sum := sha256.Sum256(b)
	copy(k[:], sum[:])
	return k
}

// asFailure returns the kind of err and the message for the caller. It hides the
// text of internal errors.
func asFailure(err error) (failure.Kind, string) {
	k := failure.KindOf(err)
	if k == failure.Internal {
		return k, "internal error; see the log of the entry under this request ID"
	}
	return k, err.Error()
}
