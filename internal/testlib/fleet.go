package testlib

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
)

// Key is the bearer key of the workspace "bench", which a Fleet declares.
const Key = "bench-key"

// Process is a program that a Fleet has started.
type Process struct {
	Name string
	Addr string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Wait waits until the process has ended and returns its error.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Fleet is a deployment of stand-ins and entry nodes, each a process of its own
// on loopback.
type Fleet struct {
	Dir           string
	Platform      string   // address
	Engines       []string // addresses
	Service       string   // address
	Nodes         []*Process
	Limits        config.Limits
	settingsPaths []string
	routerPath    string
	standInPath   string
	log           io.Writer
	mu            sync.Mutex
	processes     []*Process
}

// RaceVariable is the environment variable that makes Build compile the
// programs with the race detector.
const RaceVariable = "AUBURNNOTCH_RACE"

// Build compiles the router and the stand-ins, the two programs of the module at
// root, into dir.
func Build(ctx context.Context, root, dir string) error {
	for name, pkg := range map[string]string{"auburnnotch": ".", "standin": "./cmd/standin"} {
		args := []string{"build", "-o", filepath.Join(dir, name)}
		if os.Getenv(RaceVariable) != "" {
			args = append(args, "-race")
		}
		c := exec.CommandContext(ctx, "go", append(args, pkg)...)
		c.Dir = root
		if out, err := c.CombinedOutput(); err != nil {
			return errors.Annotatef(err, "build %s: %s", name, out)
		}
	}
	return nil
}

// NewFleet returns a Fleet that runs the programs in dir and has started none
// yet. Their output goes to log.
func NewFleet(dir string, log io.Writer) *Fleet {
	return &Fleet{
		Dir: dir, routerPath: filepath.Join(dir, "auburnnotch"), standInPath: filepath.Join(dir, "standin"), log: log,
		Limits: config.Limits{EntrySeconds: 1},
	}
}

// StartStandIns starts the stand-ins of the platform, of a plain service and of
// the given number of engines.
func (f *Fleet) StartStandIns(engines int) error {
	var err error
	if f.Platform, err = f.startStandIn("platform", "platform"); err != nil {
		return err
	}
	if f.Service, err = f.startStandIn("orders", "service"); err != nil {
		return err
	}
	for i := range engines {
		name := engineName(i)
		addr, err := f.startStandIn(name, "engine", "--name", name)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, addr)
	}
	return nil
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func (f *Fleet) startStandIn(name string, args ...string) (string, error) {
	p, err := f.startProcess(name, f.standInPath, args, func(line string) string {
		_, addr, _ := strings.Cut(line, "listening on ")
		return addr
	})
	if err != nil {
		return "", err
	}
	return p.Addr, nil
}

// startProcess starts a program and waits until address finds its address in a
// line that the program prints.
func (f *Fleet) startProcess(name, path string, args []string, address func(line string) string) (*Process, error) {
	c := exec.Command(path, args...)
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.Stdout, c.Stderr = w, w
	if err := c.Start(); err != nil {
		return nil, errors.Annotatef(err, "start %s", name)
	}
	_ = w.Close()
	p := &Process{Name: name, cmd: c, done: make(chan struct{})}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	found := make(chan string, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		sc := bufio.NewScanner(r)
		for sc.Scan() {
			if a := address(sc.Text()); a != "" {
				select {
				case found <- a:
				default:
				}
			}
			fmt.Fprintf(f.log, "%s: %s\n", name, sc.Text())
		}
		p.err = c.Wait()
		close(p.done)
	})
	const startTimeout = 10 * time.Second
	select {
	case p.Addr = <-found:
		return p, nil
	case <-p.done:
		return p, errors.Errorf("%s exited before it printed its address: %v", name, p.err)
	case <-time.After(startTimeout):
		return p, errors.Errorf("%s printed no address within %s", name, startTimeout)
	}
}

// StartNodes starts n entry nodes and waits until they reach each other.
func (f *Fleet) StartNodes(n int) error {
	peers := make([]string, n)
	for i := range peers {
		var err error
		if peers[i], err = Address(); err != nil {
			return err
		}
	}
	for i := range n {
		listen, err := Address()
		if err != nil {
			return err
		}
		s := config.Settings{
			Name: fmt.Sprintf("entry-%d", i+1), DataCentre: "dc-1", Listen: listen, PeerListen: peers[i],
			Peers: peers, PeerSecret: "a secret of the demonstration", Platform: "http://" + f.Platform,
			Limits: f.Limits,
		}
		path := filepath.Join(f.Dir, s.Name+".json")
		text, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return errors.Trace(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return errors.Trace(err)
		}
		f.settingsPaths = append(f.settingsPaths, path)
		p, err := f.startNode(i)
		if err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, p)
	}
	return f.waitForMembers(n)
}

// waitForMembers waits until the status of every node lists n reached nodes.
func (f *Fleet) waitForMembers(n int) error {
	const (
		attempts = 100
		interval = 50 * time.Millisecond
	)
	for _, node := range f.Nodes {
		reached := 0
		for range attempts {
			out, err := f.RunCommand("status", "--json", "--node", node.Addr)
			if err != nil {
				return err
			}
			if reached = strings.Count(out, `"reached": true`); reached == n {
				break
			}
			time.Sleep(interval)
		}
		if reached != n {
			return errors.Errorf("%s reaches %d of %d nodes", node.Name, reached, n)
		}
	}
	return nil
}

func (f *Fleet) startNode(i int) (*Process, error) {
	return f.startProcess(fmt.Sprintf("entry-%d", i+1), f.routerPath, []string{"serve", f.settingsPaths[i]}, func(line string) string {
		_, rest, ok := strings.Cut(line, "callers=\"")
		if !ok {
			return ""
		}
		addr, _, _ := strings.Cut(rest, "\"")
		return addr
	})
}

// Restart starts node i again. Its previous process must have ended.
func (f *Fleet) Restart(i int) error {
	p, err := f.startNode(i)
	if err == nil {
		f.Nodes[i] = p
	}
	return err
}

// Declaration returns a declaration of the fleet's upstreams and of the
// workspace "bench".
func (f *Fleet) Declaration() declare.Declaration {
	d := declare.New().
		WithDataCentre("dc-1", "region-1").
		WithModel("assistant", "v1").
		WithVM(declare.VM("vm-service", "dc-1")).
		WithPool(declare.Pool("assistant", "assistant", "v1", config.Interactive)).
		WithService("orders", declare.Once("/commit", config.Interactive), declare.Repeatable("/stock", config.Interactive)).
		WithUpstream(declare.BackEnd("orders-1", "vm-service", "http://"+f.Service, "orders", 16)).
		WithWorkspace(declare.Workspace("bench", 2, declare.HashKey(Key)))
	for i, addr := range f.Engines {
		vm := fmt.Sprintf("vm-%d", i+1)
		d = d.WithVM(declare.VM(vm, "dc-1")).
			WithUpstream(declare.Engine(engineName(i), vm, "http://"+addr, "assistant", 16, i%2 == 0))
	}
	return d
}

// Apply submits d to the first node with the command apply and returns what the
// command prints.
func (f *Fleet) Apply(d declare.Declaration) (string, error) {
	path := filepath.Join(f.Dir, "declaration.json")
	var b strings.Builder
	if err := d.Print(&b); err != nil {
		return "", err
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return "", errors.Trace(err)
	}
	return f.RunCommand("apply", "--node", f.Nodes[0].Addr, path)
}

// RunCommand runs the command line of the router and returns what it prints.
func (f *Fleet) RunCommand(args ...string) (string, error) {
	out, err := exec.Command(f.routerPath, args...).CombinedOutput()
	return string(out), errors.Annotatef(err, "auburnnotch %s: %s", strings.Join(args, " "), out)
}

// Stop kills every process that the fleet has started and waits for its end.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
