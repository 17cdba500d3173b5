package testlib

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the body of a chat completion.
type Chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []Message `json:"messages"`
}

// NewChat returns a streamed chat of n tokens with a shared prefix and a
// question.
func NewChat(prefix, question string, n int) Chat {
	return Chat{Model: "assistant", Stream: true, MaxTokens: n, Messages: []Message{
		{Role: "system", Content: prefix}, {Role: "user", Content: question},
	}}
}

// MessagesJSON returns the raw JSON of the messages, from which the stand-in
// engine derives its completion.
func (c Chat) MessagesJSON() string {
	b, _ := json.Marshal(c.Messages)
	return string(b)
}

// Response is the response that a Caller received.
type Response struct {
	Status       int
	Header       http.Header
	Body         string // empty for a stream
	Text         string
	LastEventID  string
	Complete     bool // the stream ended with [DONE]
	Error        wire.ErrorDetail
	CachedTokens int // as reported by the engine
	PromptTokens int // as reported by the engine
}

// Caller sends requests to one entry node.
type Caller struct {
	Addr string
	Key  string
	HTTP *http.Client
	// OnToken, if set, is called with each token of a stream. If it returns an
	// error, the stream is read no further.
	OnToken func(text string) error
}

// NewCaller returns a Caller that sends requests of the workspace "bench" to the
// node at addr.
func NewCaller(addr string) *Caller { return &Caller{Addr: addr, Key: Key, HTTP: &http.Client{}} }

// Post sends body to path with header and returns the open response.
func (c *Caller) Post(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	return c.HTTP.Do(req)
}

// Call posts body and reads the whole response.
func (c *Caller) Call(ctx context.Context, path string, body []byte, header http.Header) (Response, error) {
	resp, err := c.Post(ctx, path, body, header)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	defer resp.Body.Close()
	r := Response{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err := c.readStream(resp.Body, &r)
		return r, err
	}
	data, err := io.ReadAll(resp.Body)
	r.Body = string(data)
	if resp.StatusCode >= http.StatusBadRequest {
		var e wire.ErrorBody
		_ = json.Unmarshal(data, &e)
		r.Error = e.Error
	}
	return r, errors.Trace(err)
}

func (c *Caller) readStream(body io.Reader, r *Response) error {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return errors.Trace(err)
		}
		switch {
		case ev.Type == "error":
			var e wire.ErrorBody
			if err := json.Unmarshal([]byte(ev.Data), &e); err != nil {
				return errors.Trace(err)
			}
			r.Error = e.Error
			continue
		case ev.Data == "[DONE]":
			r.Complete = true
			continue
		}
		r.LastEventID = ev.LastEventID
		text := gjson.Get(ev.Data, "choices.0.delta.content").String()
		r.Text += text
		if u := gjson.Get(ev.Data, "usage"); u.Exists() {
			r.PromptTokens = int(u.Get("prompt_tokens").Int())
			r.CachedTokens = int(u.Get("prompt_tokens_details.cached_tokens").Int())
		}
		if c.OnToken != nil && text != "" {
			if err := c.OnToken(text); err != nil {
				return err
			}
		}
	}
	return nil
}

// Chat requests a chat completion.
func (c *Caller) Chat(ctx context.Context, chat Chat, header http.Header) (Response, error) {
	body, err := json.Marshal(chat)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	return c.Call(ctx, "/v1/chat/completions", body, header)
}
