package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = strings.Fields("red twill cotton selvage hem pennant bunting thread grommet canvas felt fringe tassel appliqué dye loom weft warp typha reed lake shore plot bale boat permit")

// Token returns token i of the completion of prompt, which is the raw JSON of the
// field prompt or messages.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "#" + strconv.Itoa(i))
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// Completion returns the first n tokens of the completion of prompt.
func Completion(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

type chatContent struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatContent `json:"delta,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	Text         string       `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	Details          promptTokensDetails `json:"prompt_tokens_details"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

const bytesPerToken = 4

func (e *Engine) usage(j *job) *usage {
	perPiece := e.opts.PieceBytes / bytesPerToken
	return &usage{PromptTokens: len(j.prompt) / bytesPerToken, CompletionTokens: j.maxTokens, Details: promptTokensDetails{CachedTokens: j.cachedPieces * perPiece}}
}

func (e *Engine) chunk(j *job, text string) chunk {
	c := chunk{ID: j.attemptID, Object: "text_completion", Model: e.opts.Model, Choices: []choice{{Text: text}}}
	if j.chat {
		c.Object = "chat.completion.chunk"
		c.Choices = []choice{{Delta: &chatContent{Content: text}}}
	}
	return c
}
