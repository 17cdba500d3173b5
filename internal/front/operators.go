package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/auburnnotch/auburnnotch/internal/configkeeper"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// requireOperator wraps h to reject requests without the operators' key. If the
// settings contain no hash of such a key, every request is let through.
func (f *Front) requireOperator(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		want := f.settings.OperatorKeyHash
		if want != "" && subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(want)) != 1 {
			f.refuse(w, uuid.NewString(), failure.Unauthorized, "send Authorization: Bearer with the operators' key")
			return
		}
		h(w, r)
	}
}

// Status is the response of GET /v1/status.
type Status struct {
	Node     string       `json:"node"`
	Revision uint64       `json:"revision"`
	InForce  int          `json:"inForce"` // number of nodes that have Revision
	Nodes    []NodeStatus `json:"nodes"`
	Waiting  int          `json:"waiting"`
	Running  int          `json:"running"`
	// DroppedHints is the number of placement hints that this node dropped
	// because a queue was full: single hints to send, and batches received.
	DroppedHints int64      `json:"droppedHints"`
	VMs          []VMStatus `json:"vms"`
}

// NodeStatus describes a node in a Status.
type NodeStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Reached    bool   `json:"reached"`
}

// VMStatus describes a VM that has a leave time, as seen by this node.
type VMStatus struct {
	Name     string `json:"name"`
	LeavesAt string `json:"leavesAt"`
	// Requests is the number of this node's requests that run on the VM.
	Requests int `json:"requests"`
	// Draining means that the VM receives no new work.
	Draining bool `json:"draining"`
}

func stateName(s member.State) string {
	switch s {
	case member.Alive:
		return "alive"
	case member.Suspect:
		return "suspect"
	case member.Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

func (f *Front) status(w http.ResponseWriter, r *http.Request) {
	snapshot := f.sched.Snapshot()
	s := Status{
		Node: f.settings.Name, Revision: f.config.Revision(), Waiting: snapshot.Waiting, Running: snapshot.Running,
		DroppedHints: f.hinter.Dropped() + f.sched.DroppedHintBatches(),
	}
	for _, n := range f.members.PollRevisions(r.Context()) {
		s.Nodes = append(s.Nodes, NodeStatus{
			Name: n.Info.Name, Address: n.Info.Entry, DataCentre: n.Info.DataCentre,
			State: stateName(n.Info.State), Revision: n.Revision, Reached: n.Reached,
		})
		if n.Reached && n.Revision == s.Revision {
			s.InForce++
		}
	}
	if c := f.config.Current(); c != nil {
		running := map[string]int{}
		for _, fl := range snapshot.InFlight {
			if u, ok := c.Upstream(fl.Upstream); ok {
				running[u.VM] += fl.Requests
			}
		}
		for _, v := range c.Declaration.VMs {
			if v.LeavesAt != nil {
				s.VMs = append(s.VMs, VMStatus{
					Name: v.Name, LeavesAt: v.LeavesAt.Format(timeFormat), Requests: running[v.Name],
					Draining: !f.clk.Now().Before(*v.DrainFrom),
				})
			}
		}
	}
	writeJSON(w, http.StatusOK, s)
}

const timeFormat = "2006-01-02T15:04:05Z07:00"

// DeclarationResponse is the response of GET /v1/declaration.
type DeclarationResponse struct {
	Revision    uint64             `json:"revision"`
	Declaration config.Declaration `json:"declaration"`
}

func (f *Front) declaration(w http.ResponseWriter, _ *http.Request) {
	c := f.config.Current()
	if c == nil {
		writeJSON(w, http.StatusOK, DeclarationResponse{})
		return
	}
	writeJSON(w, http.StatusOK, DeclarationResponse{Revision: c.Revision, Declaration: c.Declaration})
}

func (f *Front) plan(w http.ResponseWriter, r *http.Request) {
	p, err := f.drainer.Plan(r.Context(), config.Seconds(f.limits.RequestSeconds))
	if err != nil {
		f.refuse(w, uuid.NewString(), failure.NoUpstream, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, p)
}

// SubmitResponse is the response of PUT /v1/declaration: the new revision, or the
// error and the problems of a rejected declaration.
type SubmitResponse struct {
	Revision uint64            `json:"revision,omitempty"`
	Problems []config.Problem  `json:"problems,omitempty"`
	Error    *wire.ErrorDetail `json:"error,omitempty"`
}

func (f *Front) submit(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.limits.BodyBytes))
	if err != nil {
		f.refuse(w, id, failure.TooLarge, "the declaration is larger than the limit of a body")
		return
	}
	s := configkeeper.Submission{File: "declaration", Text: text}
	if raw := r.URL.Query().Get("base"); raw != "" {
		base, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			f.refuse(w, id, failure.BadRequest, "base: is no revision")
			return
		}
		s.Base = &base
	}
	if name := r.URL.Query().Get("file"); name != "" {
		s.File = name
	}
	revision, problems, err := f.config.Submit(r.Context(), s)
	if err == nil {
		writeJSON(w, http.StatusOK, SubmitResponse{Revision: revision})
		return
	}
	k, msg := asFailure(err)
	a := k.Response()
	f.meter.RecordRefusal(k)
	writeJSON(w, a.Status, SubmitResponse{Problems: problems, Error: &wire.ErrorDetail{
		Kind: a.Name, Message: msg, RequestID: id, NotRun: a.Verdict == failure.NotRun, OutcomeUnknown: a.Verdict == failure.Unknown,
	}})
}
