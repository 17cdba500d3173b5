package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
)

const (
	drillNodes   = 3
	drillServers = 4
	// revokeTime is revoke-ms. drillDelay is when after the ack of the revocation the store
	// goes away, awayTime for how long, and copyLead how long before the ack the copy was made.
	revokeTime = 5 * time.Second
	drillDelay = 4300 * time.Millisecond
	awayTime   = time.Second
	copyLead   = 100 * time.Millisecond
	// repeatDelay is how long after the store's return the operator has written again what the
	// copy lacks.
	repeatDelay = time.Second
	// restartDelay is the short delay after which a killed process is started again.
	restartDelay = 500 * time.Millisecond
	drillPause   = 50 * time.Millisecond
	afterDrill   = 4 * time.Second
)

// caseDrill: the store comes back from a copy that is some seconds old, while one node, whose
// process was killed, starts again. A key had been taken away in between.
func caseDrill(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.op.Configure(keyCatalog(7, "key-a", "key-b")); err != nil {
		return false, err
	}
	for i := range drillServers {
		s := &server{id: "i-app-" + strconv.Itoa(i), rec: rec, work: lookupWork}
		if err := f.addServer(s, "workshop-app", "zone-aba"); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	defer close(done)
	go f.heartbeats(done)
	if err := f.addNodes(drillNodes); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var acked time.Time // of the revocation
	ran := map[string]int{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i, n := range f.nodes {
		for _, key := range []string{"key-a", "key-b"} {
			wg.Go(func() {
				c := &caller{node: n.settings.CallerListen}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(drillPause):
					}
					r := &client.Request{ID: newID(), Method: http.MethodGet, Host: host, Target: "/stock/" + strconv.Itoa(i), APIKey: key, Timeout: routeTimeout}
					sent := time.Now()
					resp, err := c.call(r, routeTimeout+answerSlack)
					rec.add("%s with %s to %s: status %d, stamped %t%s", r.ID, key, n.settings.Name, resp.Status, resp.Stamped, suffix(err))
					mu.Lock()
					if key == "key-b" && resp.Stamped && !acked.IsZero() && sent.Sub(acked) > revokeTime {
						ran[n.settings.Name]++
						rec.add("%s was sent %d ms after the ack and has run", r.ID, sent.Sub(acked).Milliseconds())
					}
					mu.Unlock()
				}
			})
		}
	}
	old := f.store.Backup()
	rec.add("the copy of the store was made")
	time.Sleep(copyLead)
	if err := f.op.Configure(keyCatalog(8, "key-a")); err != nil {
		return false, err
	}
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	rec.say("version 8, which takes key-b away, was acknowledged")
	time.Sleep(drillDelay)

	n := f.nodes[0]
	rec.say("the process of %s is killed", n.settings.Name)
	n.kill()
	if trouble {
		rec.say("the store goes away")
		f.store.SetFaults("", metastore.Faults{Down: true})
	}
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		return false, err
	}
	time.Sleep(awayTime - restartDelay)
	if trouble {
		f.store.Restore(old)
		f.store.SetFaults("", metastore.Faults{})
		rec.say("the store is back from the copy")
		time.Sleep(repeatDelay)
		f.store.RepeatWrites()
		rec.say("the operator and the servers have written again")
	}
	time.Sleep(afterDrill)
	close(stop)
	wg.Wait()
	total := 0
	for _, n := range f.nodes {
		rec.say("%s: %d requests with key-b that were sent over %v after the ack ran", n.settings.Name, ran[n.settings.Name], revokeTime)
		total += ran[n.settings.Name]
	}
	return total > 0, nil
}

// keyCatalog is a configuration with the keys of one tenant.
func keyCatalog(version uint64, keys ...string) *traffic.Catalog {
	c := lookupCatalog(version)
	c.Workspaces[0].Keys = keys
	return c
}
