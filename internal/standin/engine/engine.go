package engine

import (
	"container/list"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// commentInterval is the time between two comments of a stalled stream.
const commentInterval = 50 * time.Millisecond

// Options describes an engine: its model, size and speed.
type Options struct {
	Name          string
	Model         string
	Version       string
	Slots         int
	CachePieces   int
	PieceBytes    int
	PieceTime     time.Duration // prefill of one piece that isn't cached
	TokenTime     time.Duration // decoding of one token
	ChecksFencing bool
	// PoisonText, if not empty, crashes the engine when a request body contains it.
	PoisonText string
}

// Faults selects the faults of an engine.
type Faults struct {
	// SilentAfter stalls a stream after that many tokens, with the connection
	// open; 0 means never.
	SilentAfter int `json:"silentAfter"`
	// StallAfter stalls a stream after that many tokens, with comments as a sign of
	// life; 0 means never.
	StallAfter int `json:"stallAfter"`
	// EndPause is a pause after the last token of a stream, before its end.
	EndPause time.Duration `json:"endPause"`
	// CutAfter closes the connection of a stream after that many tokens; 0 means
	// never.
	CutAfter int `json:"cutAfter"`
	// Truncate makes CutAfter end the response properly, but without [DONE].
	Truncate bool `json:"truncate"`
	// Duplicate sends each chunk twice.
	Duplicate bool `json:"duplicate"`
	// Refuse rejects requests with status 503 and the header wire.HeaderNotRun.
	Refuse bool `json:"refuse"`
	// Times, if not 0, is the number of requests after which all faults are
	// cleared.
	Times int `json:"times"`
}

// Engine is a model engine as an http.Handler.
type Engine struct {
	opts  Options
	clk   clock.Clock
	slots chan struct{}
	mux   *http.ServeMux

	mu           sync.Mutex
	incarnation  string
	crashed      chan struct{}
	cache        map[uint64]*list.Element
	lru          *list.List
	attempts     map[string]bool
	orders       []wire.Order
	fencingToken uint64
	running      int
	waiting      int
	pending      [3]int
	draining     bool
	faults       Faults
	runs         int
	crashes      int
}

// New returns an Engine with an empty prefix cache.
func New(opts Options, clk clock.Clock) *Engine {
	e := &Engine{opts: opts, clk: clk, slots: make(chan struct{}, opts.Slots), mux: http.NewServeMux()}
	e.reset()
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("DELETE /v1/attempts/{id}", e.cancel)
	e.mux.HandleFunc("GET /load", e.reportLoad)
	e.mux.HandleFunc("POST /orders", e.receiveOrder)
	e.mux.HandleFunc("PUT /faults", e.putFaults)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.crashed = make(chan struct{})
	e.cache = map[uint64]*list.Element{}
	e.lru = list.New()
	e.attempts = map[string]bool{}
}

// Crash aborts the running requests and restarts the engine at the same address
// as a new incarnation with an empty prefix cache.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashes++
	e.reset()
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns the number of completions that were started or resumed, including
// attempts to resume an unknown one.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []wire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.Order(nil), e.orders...)
}

// job is a completion request that was admitted.
type job struct {
	attemptID    string
	prompt       string // raw JSON, without a partial completion
	firstToken   int
	maxTokens    int
	stream       bool
	chat         bool
	cachedPieces int
	pieces       int
	resumed      bool
	faults       Faults
	crashed      chan struct{}
	priority     int
	incarnation  string
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	e.mu.Lock()
	refuse := e.draining || e.consumeFault(e.faults.Refuse)
	e.mu.Unlock()
	if refuse {
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if e.opts.PoisonText != "" && strings.Contains(string(body), e.opts.PoisonText) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	j, ok := e.admit(r, body)
	if !ok {
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, "unknown attempt", http.StatusGone)
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.recordStart()
	defer e.recordEnd()
	e.sleep(r, j, time.Duration(j.pieces-j.cachedPieces)*e.opts.PieceTime)
	w.Header().Set(wire.HeaderAttempt, j.attemptID)
	w.Header().Set(wire.HeaderIncarnation, j.incarnation)
	if j.stream {
		e.writeStream(w, r, j)
		return
	}
	e.writeResponse(w, r, j)
}

// consumeFault returns on, which reports whether a fault applies to the current
// request. If it does, the request is counted against Faults.Times, and the last
// one clears the faults. The caller holds mu.
func (e *Engine) consumeFault(on bool) bool {
	if !on {
		return false
	}
	if e.faults.Times > 0 {
		if e.faults.Times--; e.faults.Times == 0 {
			e.faults = Faults{}
		}
	}
	return true
}

func (e *Engine) admit(r *http.Request, body []byte) (*job, bool) {
	doc := gjson.ParseBytes(body)
	j := &job{attemptID: r.Header.Get(wire.HeaderAttempt), stream: doc.Get("stream").Bool(), chat: strings.Contains(r.URL.Path, "chat")}
	j.priority = max(0, slices.Index([]string{"interactive", "standard", "batch"}, r.Header.Get(wire.HeaderPriority)))
	j.maxTokens = int(doc.Get("max_tokens").Int())
	if j.maxTokens <= 0 {
		j.maxTokens = 16
	}
	text := doc.Get("prompt").Raw
	if j.chat {
		text = doc.Get("messages").Raw
	}
	j.prompt = text
	if partial := doc.Get("continue_text"); partial.Exists() {
		j.firstToken = len(strings.Fields(partial.String()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting++
	e.runs++
	j.incarnation, j.crashed = e.incarnation, e.crashed
	j.faults = e.faults // consumeFault may clear them
	e.consumeFault(e.faults.CutAfter > 0 || e.faults.SilentAfter > 0 || e.faults.StallAfter > 0 || e.faults.EndPause > 0 || e.faults.Duplicate)
	if raw := r.Header.Get(wire.HeaderResumeFrom); raw != "" {
		if !e.attempts[j.attemptID] {
			e.waiting--
			return nil, false
		}
		j.firstToken, _ = strconv.Atoi(raw)
		j.resumed = true
		return j, true
	}
	e.attempts[j.attemptID] = true
	h := hasher.New(e.opts.PieceBytes)
	seed := h.Seed(hasher.Scope{Salt: r.Header.Get(wire.HeaderSalt), Model: e.opts.Model, Version: e.opts.Version})
	chain := h.Append(nil, seed, []byte(text))
	j.pieces, j.cachedPieces = len(chain), e.touchPieces(chain)
	e.pending[j.priority] += j.pieces - j.cachedPieces
	return j, true
}

// touchPieces marks the pieces of chain as recently used, caches those that are
// missing, and returns how many were cached before. The caller holds mu.
func (e *Engine) touchPieces(chain hasher.Chain) int {
	hits := 0
	for _, h := range chain {
		if el, ok := e.cache[h]; ok {
			e.lru.MoveToFront(el)
			hits++
			continue
		}
		e.cache[h] = e.lru.PushFront(h)
		if e.lru.Len() > e.opts.CachePieces {
			oldest := e.lru.Back()
			delete(e.cache, e.lru.Remove(oldest).(uint64))
		}
	}
	return hits
}

func (e *Engine) recordStart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
}

func (e *Engine) recordEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// sleep waits until d has passed or the caller has closed the connection, and then
// counts the prefill of j as done. It aborts the response if the engine crashes.
func (e *Engine) sleep(r *http.Request, j *job, d time.Duration) {
	select {
	case <-e.clk.After(d):
	case <-j.crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.pending[j.priority] = max(0, e.pending[j.priority]-(j.pieces-j.cachedPieces))
	j.pieces = j.cachedPieces
	e.mu.Unlock()
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := j.firstToken; i < j.maxTokens; i++ {
		e.sleep(r, j, e.opts.TokenTime)
		if r.Context().Err() != nil {
			return
		}
		sent := i - j.firstToken
		switch {
		case j.faults.CutAfter > 0 && sent >= j.faults.CutAfter:
			if j.faults.Truncate {
				return
			}
			panic(http.ErrAbortHandler)
		case j.faults.SilentAfter > 0 && sent >= j.faults.SilentAfter:
			<-r.Context().Done()
			return
		case j.faults.StallAfter > 0 && sent >= j.faults.StallAfter:
			e.sendComments(w, r)
			return
		}
		data, _ := json.Marshal(e.chunk(j, Token(j.prompt, i)))
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		if j.faults.Duplicate {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		}
		_ = rc.Flush()
	}
	stop := "stop"
	last := e.chunk(j, "")
	last.Choices[0].FinishReason = &stop
	last.Usage = e.usage(j)
	data, _ := json.Marshal(last)
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", j.maxTokens, data)
	if j.faults.EndPause > 0 {
		_ = rc.Flush()
		e.sleep(r, j, j.faults.EndPause)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// sendComments sends comments until the request is canceled.
func (e *Engine) sendComments(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	for clock.Sleep(r.Context(), e.clk, commentInterval) {
		fmt.Fprint(w, ": waiting\n\n")
		_ = rc.Flush()
	}
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, j *job) {
	e.sleep(r, j, time.Duration(j.maxTokens-j.firstToken)*e.opts.TokenTime)
	stop := "stop"
	c := chunk{ID: j.attemptID, Object: "text_completion", Model: e.opts.Model, Usage: e.usage(j)}
	text := Completion(j.prompt, j.maxTokens)
	c.Choices = []choice{{Text: text, FinishReason: &stop}}
	if j.chat {
		c.Object = "chat.completion"
		c.Choices = []choice{{Message: &chatContent{Content: text}, FinishReason: &stop}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := wire.Load{
		Incarnation: e.incarnation, Running: e.running, Waiting: e.waiting,
		PendingPieces: e.pending, Leaving: e.draining, Model: e.opts.Model, Version: e.opts.Version,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

func (e *Engine) receiveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.FencingToken < e.fencingToken {
		http.Error(w, "old fencing token", http.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case wire.OrderDrain:
		e.draining = true
	case wire.OrderLoad:
		e.opts.Model, e.opts.Version = o.Model, o.Version
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}
