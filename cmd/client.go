package cmd

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/front"
	"github.com/auburnnotch/auburnnotch/pkg/wire"
)

// nodeClient calls the operators' API of a node. The commands that embed it have
// its fields as flags.
type nodeClient struct {
	Node string `arg:"--node,env:AUBURNNOTCH_NODE" default:"127.0.0.1:8080" help:"address of any node"`
	Key  string `arg:"--key,env:AUBURNNOTCH_KEY" help:"bearer key of the operators"`
}

const callTimeout = 15 * time.Second

func (c nodeClient) sling() *sling.Sling {
	s := sling.New().Base("http://" + c.Node).Client(&http.Client{Timeout: callTimeout})
	if c.Key != "" {
		s = s.Set("Authorization", "Bearer "+c.Key)
	}
	return s
}

// fetch sends a request and decodes a response of status 200 into dst. Any other
// status is an error.
func fetch(ctx context.Context, s *sling.Sling, dst any) error {
	req, err := s.Request()
	if err != nil {
		return errors.Trace(err)
	}
	var refused wire.ErrorBody
	resp, err := s.Do(req.WithContext(ctx), dst, &refused)
	if err != nil {
		return errors.Annotate(err, "request to the node failed; is it running, and is --node its address?")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("node responded with status %d %s: %s", resp.StatusCode, refused.Error.Kind, refused.Error.Message)
	}
	return nil
}

func (c nodeClient) status(ctx context.Context) (front.Status, error) {
	var s front.Status
	err := fetch(ctx, c.sling().Get("/v1/status"), &s)
	return s, err
}

func (c nodeClient) declaration(ctx context.Context) (front.DeclarationResponse, error) {
	var d front.DeclarationResponse
	err := fetch(ctx, c.sling().Get("/v1/declaration"), &d)
	return d, err
}

type submitParams struct {
	File string  `url:"file,omitempty"`
	Base *uint64 `url:"base,omitempty"`
}

// submit submits a declaration. If the node rejects it, the response lists its
// problems.
func (c nodeClient) submit(ctx context.Context, file string, text []byte, base *uint64) (front.SubmitResponse, error) {
	var accepted, refused front.SubmitResponse
	s := c.sling().Put("/v1/declaration").QueryStruct(&submitParams{File: file, Base: base}).Body(bytes.NewReader(text))
	req, err := s.Request()
	if err != nil {
		return accepted, errors.Trace(err)
	}
	resp, err := s.Do(req.WithContext(ctx), &accepted, &refused)
	switch {
	case err != nil:
		return accepted, errors.Annotate(err, "submit the declaration; `auburnnotch status` shows what is in force")
	case resp.StatusCode == http.StatusOK:
		return accepted, nil
	}
	lines := []string{"refused"}
	if refused.Error != nil {
		lines[0] = refused.Error.Kind + ": " + refused.Error.Message
	}
	for _, p := range refused.Problems {
		lines = append(lines, p.String())
	}
	return refused, errors.New(strings.Join(lines, "\n"))
}
