// Package declare builds declarations in Go. Operators write a program that calls
// the constructors and prints the declaration, and submit its output with
// `auburnnotch apply`.
package declare

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Declaration is an immutable declaration. Its With methods return extended
// copies.
type Declaration struct{ d config.Declaration }

// New returns an empty Declaration.
func New() Declaration { return Declaration{} }

// appendCopy appends to a copy of list, so that declarations do not share arrays.
func appendCopy[T any](list []T, more ...T) []T {
	return append(append([]T(nil), list...), more...)
}

// WithDataCentre adds a data centre in a region.
func (d Declaration) WithDataCentre(name, region string) Declaration {
	d.d.DataCentres = appendCopy(d.d.DataCentres, config.DataCentre{Name: name, Region: region})
	return d
}

// WithModel adds a model and its weight versions.
func (d Declaration) WithModel(name string, versions ...string) Declaration {
	d.d.Models = appendCopy(d.d.Models, config.Model{Name: name, Versions: versions})
	return d
}

// WithVM adds VMs; see VM.
func (d Declaration) WithVM(vms ...config.VM) Declaration {
	d.d.VMs = appendCopy(d.d.VMs, vms...)
	return d
}

// VM returns a VM that stays.
func VM(name, dataCentre string) config.VM { return config.VM{Name: name, DataCentre: dataCentre} }

// LeavingVM returns a VM that receives no new work from drain on and must be
// empty at leaves.
func LeavingVM(name, dataCentre string, drain, leaves time.Time) config.VM {
	return config.VM{Name: name, DataCentre: dataCentre, DrainFrom: &drain, LeavesAt: &leaves}
}

// WithPool adds engine pools; see Pool.
func (d Declaration) WithPool(pools ...config.Pool) Declaration {
	d.d.Pools = appendCopy(d.d.Pools, pools...)
	return d
}

// Pool returns a pool of engines for a model version.
func Pool(name, model, version string, class config.Class) config.Pool {
	return config.Pool{Name: name, Model: model, Version: version, Class: class}
}

// WithService adds a plain service with its routes; see Once and Repeatable.
func (d Declaration) WithService(name string, routes ...config.Route) Declaration {
	d.d.Services = appendCopy(d.d.Services, config.Service{Name: name, Routes: routes})
	return d
}

// Once returns a route for non-idempotent requests, which run at most once and
// require an Idempotency-Key.
func Once(path string, class config.Class) config.Route {
	return config.Route{Path: path, Class: class}
}

// Repeatable returns a route whose requests may be retried.
func Repeatable(path string, class config.Class) config.Route {
	return config.Route{Path: path, Class: class, Repeatable: true}
}

// WithUpstream adds upstreams; see Engine and BackEnd.
func (d Declaration) WithUpstream(upstreams ...config.Upstream) Declaration {
	d.d.Upstreams = appendCopy(d.d.Upstreams, upstreams...)
	return d
}

// Engine returns an engine of a pool that runs up to slots concurrent requests.
func Engine(name, vm, url, pool string, slots int, checksFencing bool) config.Upstream {
	return config.Upstream{Name: name, VM: vm, URL: url, Pool: pool, Slots: slots, ChecksFencing: checksFencing}
}

// BackEnd returns a back end of a plain service that runs up to slots concurrent
// requests.
func BackEnd(name, vm, url, service string, slots int) config.Upstream {
	return config.Upstream{Name: name, VM: vm, URL: url, Service: service, Slots: slots}
}

// WithWorkspace adds workspaces; see Workspace.
func (d Declaration) WithWorkspace(workspaces ...config.Workspace) Declaration {
	d.d.Workspaces = appendCopy(d.d.Workspaces, workspaces...)
	return d
}

// Workspace returns a workspace with a weight and the hashes of its keys.
func Workspace(name string, weight int, keyHashes ...string) config.Workspace {
	return config.Workspace{Name: name, Weight: weight, KeyHashes: keyHashes}
}

// HashKey returns the hash that declares a bearer key. A declaration never
// contains the key itself.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WithWeightStore sets the number of concurrent loads of weights and the typical
// duration of a load.
func (d Declaration) WithWeightStore(slots int, load time.Duration) Declaration {
	d.d.WeightStore = config.WeightStore{Slots: slots, LoadSeconds: load.Seconds()}
	return d
}

// WithPieceBytes sets the size in bytes of the pieces in which prompts are cached.
func (d Declaration) WithPieceBytes(n int) Declaration {
	d.d.PieceBytes = n
	return d
}

// Config returns the declaration as a plain value.
func (d Declaration) Config() config.Declaration { return d.d }

// Check validates the declaration at now and returns all problems.
func (d Declaration) Check(now time.Time) []config.Problem { return d.d.Check(now, nil) }

// Print writes the declaration as JSON for `auburnnotch apply`.
func (d Declaration) Print(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(d.d))
}
