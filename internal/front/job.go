package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/segmentio/encoding/json"

	"github.com/auburnnotch/auburnnotch/internal/catalog"
	"github.com/auburnnotch/auburnnotch/internal/token"
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// job is a request of a caller after its checks.
type job struct {
	id          string
	accepted    time.Time
	deadline    time.Time
	workspace   config.Workspace
	class       config.Class
	method      string
	path        string // on the upstream
	contentType string
	body        []byte
	pool        string
	model       bool // an engine answers it
	streaming   bool
	repeatable  bool
	continues   bool // another engine can go on with its stream
	tokens      int
	chain       hasher.Chain
	fingerprint quarantiner.Fingerprint
	key         string
	claim       claimer.Request
	resume      *token.Point
}

const (
	bytesPerToken       = 4
	defaultAnswerTokens = 256
	maxPromptTokens     = 1 << 20
	maxKeyLength        = 255
)

func (f *Front) parse(r *http.Request) (*job, error) {
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
		id: uuid.NewString(), accepted: f.clk.Now(), workspace: ws,
		method: r.Method, contentType: r.Header.Get("Content-Type"),
	}
	if err := f.readBody(r, j); err != nil {
		return nil, err
	}
	if err := f.setDeadline(r, j); err != nil {
		return nil, err
	}
	service, rest, isService := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
	var err error
	if isService && strings.HasPrefix(r.URL.Path, "/v1/services/") {
		err = f.parseService(c, r, j, service, "/"+rest)
	} else {
		err = f.parseCompletion(c, r, j)
	}
	if err != nil {
		return nil, err
	}
	j.fingerprint = quarantiner.Fingerprint(xxhash.Sum64String(ws.Name+j.path) ^ xxhash.Sum64(j.body))
	return j, nil
}

func (f *Front) readBody(r *http.Request, j *job) error {
	limit := f.limits.BodyBytes
	if r.ContentLength > limit {
		return failure.New(failure.TooLarge, "the body has %d bytes; %d is the limit", r.ContentLength, limit)
	}
	if r.ContentLength > 0 {
		j.body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, j.body); err != nil {
			return failure.Wrap(failure.BadRequest, err, "read the body; send it whole")
		}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "read the body; send it whole")
	}
	if int64(len(body)) > limit {
		return failure.New(failure.TooLarge, "the body has more than %d bytes, the limit", limit)
	}
	j.body = body
	return nil
}

func (f *Front) setDeadline(r *http.Request, j *job) error {
	d := config.Seconds(f.limits.RequestSeconds)
	if raw := r.Header.Get(wire.HeaderDeadline); raw != "" {
		s, err := strconv.ParseFloat(raw, 64)
		if err != nil || s <= 0 || config.Seconds(s) > d {
			return failure.New(failure.BadRequest, "%s: %q is no number of seconds from 0 to %v", wire.HeaderDeadline, raw, d.Seconds())
		}
		d = config.Seconds(s)
	}
	j.deadline = j.accepted.Add(d)
	return nil
}

// completion is what the router reads of a completion request.
type completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// decode reads the whole of b, whose bytes dst then shares.
func decode(b []byte, dst *completion) error {
	rest, err := json.Parse(b, dst, json.ZeroCopy)
	if err == nil && len(bytes.TrimSpace(rest)) > 0 {
		err = errors.NotValidf("text after the JSON value")
	}
	return err
}

func (f *Front) parseCompletion(c *catalog.Catalog, r *http.Request, j *job) error {
	var body completion
	if err := decode(j.body, &body); err != nil {
		return failure.Wrap(failure.BadRequest, err, "body: is no valid JSON of a completion; send an OpenAI completion request")
	}
	j.path, j.contentType, j.model, j.repeatable = r.URL.Path, "application/json", true, true
	prompt, text := "prompt", body.Prompt
	if strings.HasSuffix(j.path, "/chat/completions") {
		prompt, text = "messages", body.Messages
	}
	pool, ok := c.Pool(body.Model)
	if !ok || !mayCall(j.workspace, body.Model) {
		return failure.New(failure.UnknownModel, "model: %q is not declared for this workspace", body.Model)
	}
	if len(text) == 0 || prompt == "messages" && text[0] != '[' {
		return failure.New(failure.BadRequest, "%s: is missing or of the wrong type", prompt)
	}
	j.pool, j.streaming, j.continues = pool.Name, body.Stream, true
	j.class = pool.Class
	if err := setClass(r, j); err != nil {
		return err
	}
	answer := body.MaxTokens
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	j.tokens = len(text)/bytesPerToken + answer
	if j.tokens > maxPromptTokens {
		return failure.New(failure.TooLarge, "%s: about %d tokens; %d is the limit", prompt, j.tokens, maxPromptTokens)
	}
	seed := c.Hasher.Seed(hasher.Scope{Salt: catalog.Salt(j.workspace.Name), Model: pool.Model, Version: pool.Version})
	j.chain = c.Hasher.Append(make(hasher.Chain, 0, len(text)/c.Hasher.PieceBytes()+1), seed, text)
	return f.setResume(r, j)
}

func mayCall(w config.Workspace, model string) bool {
	for _, m := range w.Models {
		if m == model {
			return true
		}
	}
	return len(w.Models) == 0
}

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
	j.path, j.pool, j.class, j.repeatable = path, catalog.ServicePool+service, route.Class, route.Repeatable
	j.tokens = 1
	if err := setClass(r, j); err != nil || route.Repeatable {
		return err
	}
	j.key = r.Header.Get(wire.HeaderIdempotencyKey)
	if j.key == "" || len(j.key) > maxKeyLength {
		return failure.New(failure.MissingKey, "%s: this route may not be repeated; send a key of 1 to %d characters that is unique for the request", wire.HeaderIdempotencyKey, maxKeyLength)
	}
	latest, err := f.latest(j.key, route.KeepDays)
	if err != nil {
		return err
	}
	j.claim = claimer.Request{
		Latest: latest, Expires: expiry(latest),
		Key:    digest(j.workspace.Name, service, path, j.key),
		Digest: claimer.Digest(digest(j.method, j.contentType, string(j.body))),
		Nonce:  f.ledger.NewNonce(), Holder: f.ledger.Holder(),
	}
	return nil
}

const (
	day = 24 * time.Hour
	// clockSkew is how far the clock of a caller may be ahead.
	clockSkew = 5 * time.Minute
)

// expiry returns when a claim may be forgotten that could be made until latest.
func expiry(latest time.Time) time.Time {
	if latest.IsZero() {
		return latest
	}
	return latest.Add(day)
}

// latest returns the last time at which a claim under key may be made, zero for
// one without end. A route that forgets takes keys with a time, and none that is
// too old.
func (f *Front) latest(key string, keepDays int) (time.Time, error) {
	if keepDays == 0 {
		return time.Time{}, nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, failure.New(failure.MissingKey, "%s: this route takes keys of the form UUIDv7", wire.HeaderIdempotencyKey)
	}
	sec, nsec := id.Time().UnixTime()
	made, now := time.Unix(sec, nsec), f.clk.Now()
	latest := made.Add(time.Duration(keepDays) * day)
	switch {
	case made.After(now.Add(clockSkew)):
		return time.Time{}, failure.New(failure.MissingKey, "%s: its time lies ahead; set the clock", wire.HeaderIdempotencyKey)
	case now.After(latest):
		return time.Time{}, failure.New(failure.KeyExpired, "%s: is older than %d days; whether it ran is no longer known", wire.HeaderIdempotencyKey, keepDays)
	}
	return latest, nil
}

// digest hashes parts to 16 bytes, each part after its length.
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

func asFailure(err error) (failure.Kind, string) {
	k := failure.KindOf(err)
	if k == failure.Internal {
		return k, "internal error; see the log of the entry under this request ID"
	}
	return k, err.Error()
}
