package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

const (
	// configBound is config-deadline-ms.
	configBound = 2 * time.Second
	wallPrompts = 20
)

// cachedPart is a part of a prompt that an engine keeps.
type cachedPart struct{ salt, chain string }

// cache is what an engine keeps of prompts. Engines find a part only under the salt that it
// was made under, and only if they have all parts before it.
type cache struct {
	mu    sync.Mutex
	makes map[cachedPart]string // the tenant whose request made the part
	// isolated has the tenants that are isolated, since configBound after the ack.
	isolated map[string]bool
	broken   []string
}

// use enters the parts of a request, and notes each use of a part that WALL forbids.
func (c *cache) use(engineID string, r *http.Request) (used, read int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	salt, tenant := r.Header.Get(translate.HeaderCacheSalt), r.Header.Get(translate.HeaderWorkspace)
	chain, hit := engineID, true
	for part := range strings.SplitSeq(r.Header.Get(translate.HeaderPromptParts), ",") {
		chain += "/" + part
		key := cachedPart{salt, chain}
		maker, ok := c.makes[key]
		hit = hit && ok
		if !hit {
			c.makes[key] = tenant
			read++
			continue
		}
		used++
		if maker != tenant && (c.isolated[maker] || c.isolated[tenant]) {
			c.broken = append(c.broken, fmt.Sprintf("request %s of tenant %s uses part %s at %s, made by a request of tenant %s, under salt %q",
				r.Header.Get(translate.HeaderRequestID), tenant, part, engineID, maker, salt))
		}
	}
	return used, read
}

func tenants(firstIsolated bool) []traffic.Workspace {
	return []traffic.Workspace{
		{Name: "sese880", Keys: []string{"ctnfzs989anu6wsjnban"}, Isolated: firstIsolated},
		{Name: "pabo213", Keys: []string{"fqasnmgkcuyj8pjbvk9m"}},
	}
}

// wallCase makes a tenant isolated whose requests have filled the engines' caches.
func wallCase(f *fleet, trouble bool) (bool, error) {
	if err := f.configure(1, tenants(false)...); err != nil {
		return false, err
	}
	c := &cache{makes: map[cachedPart]string{}, isolated: map[string]bool{}}
	for i := range 3 {
		e, err := f.startEngine(fmt.Sprintf("i-%d", i))
		if err != nil {
			return false, err
		}
		e.cache = c
	}
	if err := f.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the fleet settles
	if err := f.sendPrompts(tenants(false)[0].Keys[0]); err != nil {
		return false, err
	}
	// The parts are rarely used by both tenants so far, and neither is isolated.
	if err := f.configure(2, tenants(trouble)...); err != nil {
		return false, err
	}
	f.record.printf("operator: version 2 is acknowledged; tenant sese880 is isolated in it: %t", trouble)
	time.Sleep(configBound + time.Second)
	c.mu.Lock()
	c.isolated["sese880"] = trouble
	c.mu.Unlock()
	if err := f.sendPrompts(tenants(false)[1].Keys[0]); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.broken {
		f.record.printf("engine: %s", b)
	}
	f.record.printf("uses of KV cache of another tenant, one of the two isolated: %d (one breaks WALL)", len(c.broken))
	return len(c.broken) > 0, nil
}

// sendPrompts sends prompts of one tenant that share their first parts.
func (f *fleet) sendPrompts(key string) error {
	q := &requester{fleet: f, key: key}
	defer func() { q.close() }()
	served := 0
	for i := range wallPrompts {
		headers := fmt.Sprintf("%s: %s\r\n%s: 7000,2\r\n%s: a%d:6300,%s%d:700\r\n", translate.HeaderModel, model,
			translate.HeaderTokenUsage, translate.HeaderPromptParts, i%4, key[:2], i)
		o, err := q.send(http.MethodPost, "/stitch/q?events=2", []byte("question"), headers, streamLimit)
		if err != nil {
			return err
		}
		f.record.printf("requester: %s with key %s to %s, shared part a%d: status %d, complete %t", o.id, key, o.address, i%4, o.status, o.complete)
		if o.complete && o.status == http.StatusOK {
			served++
		}
	}
	if served < wallPrompts/2 {
		return fmt.Errorf("only %d of %d prompts were served", served, wallPrompts)
	}
	return nil
}
