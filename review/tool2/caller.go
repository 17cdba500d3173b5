package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/auburnnotch/auburnnotch/platform/standin/client"
)

const (
	host = "flags.example"
	// dialTimeout is how long requesters allow a new channel to be established.
	dialTimeout = time.Second
)

var lastRequest atomic.Int64

// newID returns an ID for an attempt of a requester.
func newID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+lastRequest.Add(1)) }

// caller is a requester that keeps its channel to a node as long as it can.
type caller struct {
	node string
	c    *client.Client
}

func (c *caller) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}

// call sends a request and waits for its answer for at most wait.
func (c *caller) call(r *client.Request, wait time.Duration) (client.Response, error) {
	if c.c == nil {
		conn, err := client.Dial(c.node, dialTimeout)
		if err != nil {
			return client.Response{}, err
		}
		c.c = conn
	}
	end := time.Now().Add(wait)
	err := c.c.Send(r)
	var resp client.Response
	if err == nil {
		resp, err = c.c.Receive(end)
	}
	if err != nil || !resp.Reusable {
		c.close()
	}
	return resp, err
}
