package main

import (
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
)

const (
	leakNodes   = 2
	leakServers = 4 // of each service
	// leakCallers is the number of requesters at each node that keep their channels, and
	// newcomers that of those which open a new one for each request.
	leakCallers = 200
	newcomers   = 8
	leakTime    = 95 * time.Second
	leakWork    = 250 * time.Millisecond
	leakSlots   = 64
	// maxFiles is max-fds.
	maxFiles = 4100
	// releaseGap is the pause between two replacements of a service, gap_s.
	releaseGap  = time.Second
	reportEvery = 10 // replacements
	// observeTime is how long a node that no longer answers is observed, with no more servers
	// replaced.
	observeTime = 8 * time.Second
)

var leakServices = []string{"loom-models", "workshop-app"}

// leakCase is the state of caseLeak.
type leakCase struct {
	f       *fleet
	rec     *record
	end     time.Time
	started int                 // servers
	live    map[string][]string // IDs of the servers of a service, oldest first

	mu     sync.Mutex
	counts []late // by node
	status map[int]int
	// brokenAt is when the rule was first broken, zero if it wasn't.
	brokenAt time.Time
}

// caseLeak: the servers of two services are replaced one after the other.
func caseLeak(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.op.Configure(twoServices()); err != nil {
		return false, err
	}
	c := &leakCase{f: f, rec: rec, live: map[string][]string{}, counts: make([]late, leakNodes), status: map[int]int{}}
	for range leakServers {
		for _, service := range leakServices {
			if err := c.add(service); err != nil {
				return false, err
			}
		}
	}
	done := make(chan struct{})
	defer close(done)
	go f.heartbeats(done)
	if err := f.addNodes(leakNodes); err != nil {
		return false, err
	}
	limit := unix.Rlimit{Cur: maxFiles, Max: maxFiles}
	for _, n := range f.nodes {
		if err := unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			return false, err
		}
	}
	c.end = time.Now().Add(leakTime)
	var wg sync.WaitGroup
	for i := range f.nodes {
		for k := range leakCallers + newcomers {
			wg.Go(func() { c.send(i, leakServices[k%len(leakServices)], k >= leakCallers) })
		}
	}
	for !c.isOver() {
		time.Sleep(releaseGap)
		if trouble && !c.isBroken() {
			for _, service := range leakServices {
				if err := c.replace(service); err != nil {
					return false, err
				}
			}
		}
		if c.started%reportEvery == 0 && !c.isBroken() {
			c.report()
		}
	}
	c.report()
	wg.Wait()
	return c.isBroken(), nil
}

// add starts a server.
func (c *leakCase) add(service string) error {
	c.started++
	s := &server{id: "i-" + service + "-" + strconv.Itoa(c.started), rec: c.rec, work: leakWork, slots: leakSlots}
	c.live[service] = append(c.live[service], s.id)
	return c.f.addServer(s, service, "zone-aba")
}

// replace starts a new server of a service, and the oldest one drains.
func (c *leakCase) replace(service string) error {
	if err := c.add(service); err != nil {
		return err
	}
	c.f.retire(c.live[service][0])
	c.live[service] = c.live[service][1:]
	return nil
}

// send sends requests to a node one after the other.
func (c *leakCase) send(node int, service string, isNewcomer bool) {
	n := c.f.nodes[node]
	caller := &caller{node: n.settings.CallerListen}
	defer caller.close()
	for !c.isOver() {
		r := &client.Request{ID: newID(), Method: http.MethodGet, Host: host, Target: "/" + service + "/", APIKey: "key-a", Timeout: callerTimeout}
		sent := time.Now()
		resp, err := caller.call(r, routeTimeout+answerSlack)
		took := time.Since(sent)
		c.rec.add("%s to %s: status %d after %d ms%s", r.ID, n.settings.Name, resp.Status, took.Milliseconds(), suffix(err))
		c.count(node, resp.Status, took, err)
		if isNewcomer {
			caller.close()
		}
		if resp.Status != http.StatusOK {
			time.Sleep(routeTimeout / 2) // the requester comes back later
		}
	}
}

func (c *leakCase) count(node, status int, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[status]++
	if took <= routeTimeout {
		return
	}
	c.counts[node].unanswered++
	if err != nil {
		c.counts[node].stillUnanswered++
	}
	if c.brokenAt.IsZero() && c.counts[node].isBroken() {
		c.brokenAt = time.Now()
	}
}

func (c *leakCase) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.brokenAt.IsZero()
}

// isOver reports whether the case has ended.
func (c *leakCase) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.After(c.end) || !c.brokenAt.IsZero() && now.Sub(c.brokenAt) > observeTime
}

func (c *leakCase) report() {
	c.mu.Lock()
	counts, status := slices.Clone(c.counts), maps.Clone(c.status)
	c.mu.Unlock()
	c.rec.say("%d servers replaced; answers by status: %v", c.started-leakServers*len(leakServices), status)
	for i, n := range c.f.nodes {
		files, _ := os.ReadDir("/proc/" + strconv.Itoa(n.cmd.Process.Pid) + "/fd")
		c.rec.say("  %s: %d descriptors, ready %t, %d requests unanswered at timeout-ms, %d of them still unanswered 0.5 s later",
			n.settings.Name, len(files), client.Ready(n.settings.ReadyListen, time.Second), counts[i].unanswered, counts[i].stillUnanswered)
	}
}

// twoServices is a configuration with a route to each of leakServices.
func twoServices() *traffic.Catalog {
	c := lookupCatalog(1)
	route, service := c.Routes[0], c.Services[0]
	service.MaxConnections = 370
	c.Routes, c.Services = nil, nil
	for _, name := range leakServices {
		route.Name, route.Prefix, route.Targets = name, "/"+name+"/", []traffic.Target{{Service: name, Weight: 1}}
		service.Name = name
		c.Routes, c.Services = append(c.Routes, route), append(c.Services, service)
	}
	return c
}
