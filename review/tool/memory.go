package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
	"github.com/auburnnotch/auburnnotch/platform/translate"
)

// bodyBytes is the limit max-body-bytes of the configuration.
const bodyBytes = 4194304

const (
	memoryUsers = 42
	streamLimit = 15 * time.Second
)

// configure writes a configuration with one route to the engines.
func (f *fleet) configure(version uint64, workspaces ...traffic.Workspace) error {
	return f.ops.Configure(&traffic.Catalog{
		Version: version,
		Routes: []traffic.Route{{
			Name: "r-stitch", Host: host, Prefix: "/stitch/", Kind: traffic.Streaming, MaxAttempts: 2, Timeout: streamLimit,
			LatencyObjective: 500 * time.Millisecond, PauseObjective: 500 * time.Millisecond, Resumable: true, CacheAffinity: true,
			Targets: []traffic.Target{{Service: engineService, Weight: 1}},
		}},
		Services: []traffic.Service{{
			Name: engineService, HealthPath: "/health", MaxConnections: 370,
			Engine: &traffic.EngineSpec{Slots: engineSlots, MemoryTokens: 90683, TokenBytes: 18432, MaxEventPolls: 12},
		}},
		Workspaces: workspaces,
		Limits:     traffic.Limits{HeaderBytes: 16384, BodyBytes: bodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
}

// memoryCase sends requests whose bodies are as long as the configuration allows, and takes
// away all machines but one.
func memoryCase(f *fleet, trouble bool) (bool, error) {
	if err := f.configure(1); err != nil {
		return false, err
	}
	var engines []*engine
	for i := range 3 {
		e, err := f.startEngine(fmt.Sprintf("i-%d", i))
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := f.startMachines(); err != nil {
		return false, err
	}
	p := &memoryPlatform{fleet: f}
	go p.watch()
	var lost, cut, served, others counter
	body := make([]byte, bodyBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	end := time.Now().Add(25 * time.Second)
	var users sync.WaitGroup
	for range memoryUsers {
		users.Go(func() {
			q := &requester{fleet: f}
			time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second))))
			for time.Now().Before(end) {
				long := q.conn != nil && q.answered > 0 // the first request on a channel is short
				target, content := "/stitch/q?events=2", body[:1700]
				if long {
					target, content = "/stitch/q", body
				}
				headers := fmt.Sprintf("%s: %s\r\n%s: 826,58\r\n%s: %x:198,%x:628\r\n", translate.HeaderModel, model,
					translate.HeaderTokenUsage, translate.HeaderPromptParts, rand.IntN(50), rand.Uint64())
				o, err := q.send("POST", target, content, headers, streamLimit)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				passedOn := false
				for _, e := range engines {
					passedOn = passedOn || e.hasRun(o.id)
				}
				f.record.printf("requester: %s to %s, %d bytes, kept channel %t, passed on %t: status %d, complete %t, channel closed %t",
					o.id, o.address, len(content), o.kept, passedOn, o.status, o.complete, o.closed)
				switch {
				case o.complete && o.status == 200:
					served.add(1)
				case o.closed && o.kept && passedOn && !p.losesPower(o.address) && o.status == 0:
					lost.add(1)
				case o.closed && o.kept && passedOn && !p.losesPower(o.address):
					cut.add(1)
				default:
					others.add(1)
				}
			}
		})
	}
	if trouble {
		time.Sleep(8 * time.Second)
		for _, m := range f.machines[1:] {
			p.cut(m)
		}
	}
	users.Wait()
	f.record.printf("served %d, ended otherwise %d; processes ended for their memory: %d; peak of a process %d MB of %d",
		served.get(), others.get(), p.ends.get(), p.peakMB.get(), memoryMB)
	f.record.printf("requests from kept channels, passed on to a sound engine, whose channel a machine in touch closed without an answer: %d (more than three break LOST); in the middle of the answer: %d", lost.get(), cut.get())
	return lost.get() > 3, nil
}

// counter is a number that several goroutines change.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
}

func (c *counter) atLeast(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = max(c.n, n)
}

func (c *counter) get() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// memoryPlatform kills processes that exceed their memory, and starts them again.
type memoryPlatform struct {
	fleet        *fleet
	ends, peakMB counter

	mu      sync.Mutex
	noPower map[string]bool // by address of the machine
}

// cut takes a machine's power away for good.
func (p *memoryPlatform) cut(m *machine) {
	p.mu.Lock()
	if p.noPower == nil {
		p.noPower = map[string]bool{}
	}
	p.noPower[m.front()] = true
	p.mu.Unlock()
	m.kill("loss of power")
}

func (p *memoryPlatform) losesPower(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noPower[address]
}

func (p *memoryPlatform) watch() {
	for p.fleet.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		for _, m := range p.fleet.machines {
			if p.losesPower(m.front()) {
				continue
			}
			mb := m.anonymousMB()
			p.peakMB.atLeast(mb)
			if mb <= memoryMB {
				continue
			}
			p.ends.add(1)
			m.kill(fmt.Sprintf("%d MB, over the limit of %d MB", mb, memoryMB))
			time.Sleep(restartDelay)
			if p.fleet.ctx.Err() != nil {
				return
			}
			if err := m.start(); err != nil {
				p.fleet.record.printf("platform: %v", err)
			}
		}
	}
}

// anonymousMB returns the anonymous resident memory of the machine's process: less than
// what it takes, as files and bytes that the kernel holds aren't in it.
func (m *machine) anonymousMB() int {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0 // it has just ended
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			return kb >> 10
		}
	}
	return 0
}
