package declare_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/declare"
)

var (
	today = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	drain = time.Date(2027, 3, 31, 6, 0, 0, 0, time.UTC)
	leave = time.Date(2027, 3, 31, 18, 0, 0, 0, time.UTC)
)

func Example() {
	d := declare.New().
		WithDataCentre("lagos-east-1", "lagos-east").
		WithModel("assistant", "v1").
		WithVM(declare.LeavingVM("vm-1", "lagos-east-1", drain, leave)).
		WithPool(declare.Pool("wording", "assistant", "v1", config.Interactive)).
		WithUpstream(declare.Engine("engine-1", "vm-1", "http://10.1.0.1:8000", "wording", 16, true)).
		WithWorkspace(declare.Workspace("aba-bench", 1, declare.HashKey("a key that only the bench knows")))
	fmt.Println(len(d.Check(today)), "problems")
	_ = d.Print(os.Stdout)
	// Output:
	// 0 problems
	// {
	//   "dataCentres": [
	//     {
	//       "name": "lagos-east-1",
	//       "region": "lagos-east"
	//     }
	//   ],
	//   "models": [
	//     {
	//       "name": "assistant",
	//       "versions": [
	//         "v1"
	//       ]
	//     }
	//   ],
	//   "vms": [
	//     {
	//       "name": "vm-1",
	//       "dataCentre": "lagos-east-1",
	//       "leavesAt": "2027-03-31T18:00:00Z",
	//       "drainFrom": "2027-03-31T06:00:00Z"
	//     }
	//   ],
	//   "pools": [
	//     {
	//       "name": "wording",
	//       "model": "assistant",
	//       "version": "v1",
	//       "class": "interactive"
	//     }
	//   ],
	//   "upstreams": [
	//     {
	//       "name": "engine-1",
	//       "vm": "vm-1",
	//       "url": "http://10.1.0.1:8000",
	//       "pool": "wording",
	//       "slots": 16,
	//       "checksFencing": true
	//     }
	//   ],
	//   "workspaces": [
	//     {
	//       "name": "aba-bench",
	//       "keyHashes": [
	//         "9f8bb077a7a5733c6e82ce5c5c44527d9486f0fc7691764ab432ff810cd71551"
	//       ],
	//       "weight": 1
	//     }
	//   ]
	// }
}

// deployment holds the parameters in which the two example deployments differ.
type deployment struct {
	region   string
	centres  int
	engines  int
	services int
	loads    int
	weights  []int
}

func (s deployment) declare() declare.Declaration {
	d := declare.New().WithModel("assistant", "v1").
		WithPool(declare.Pool("assistant", "assistant", "v1", config.Interactive)).
		WithWeightStore(s.loads, time.Second).
		WithService("bookings", declare.Once("/commit", config.Interactive), declare.Repeatable("/stock", config.Interactive))
	for i := range s.centres {
		d = d.WithDataCentre(fmt.Sprint(s.region, "-", i), s.region)
	}
	for i := range s.engines + s.services {
		vm, centre := fmt.Sprint("vm-", i), fmt.Sprint(s.region, "-", i%s.centres)
		if i < s.engines/2 {
			d = d.WithVM(declare.LeavingVM(vm, centre, drain, leave))
		} else {
			d = d.WithVM(declare.VM(vm, centre))
		}
		url := fmt.Sprintf("http://10.1.0.%d:8000", i+1)
		if i < s.engines {
			d = d.WithUpstream(declare.Engine(fmt.Sprint("engine-", i), vm, url, "assistant", 16, i%2 == 0))
		} else {
			d = d.WithUpstream(declare.BackEnd(fmt.Sprint("booking-", i), vm, url, "bookings", 32))
		}
	}
	for i, w := range s.weights {
		name := fmt.Sprint("workspace-", i)
		d = d.WithWorkspace(declare.Workspace(name, w, declare.HashKey(name)))
	}
	return d
}

func ExampleDeclaration_Check_adire() {
	adire := deployment{region: "lagos-east", centres: 4, engines: 18, services: 4, loads: 3, weights: []int{6, 5, 4, 1, 1, 1, 1, 1}}
	d := adire.declare()
	fmt.Println(len(d.Config().Upstreams), "upstreams,", len(d.Check(today)), "problems")
	// Output: 22 upstreams, 0 problems
}

func ExampleDeclaration_Check_guiers() {
	guiers := deployment{region: "saint-louis", centres: 3, engines: 12, services: 3, loads: 2, weights: []int{7, 5, 2, 2, 1, 1, 1, 1}}
	d := guiers.declare()
	fmt.Println(len(d.Config().Upstreams), "upstreams,", len(d.Check(today)), "problems")
	// Output: 15 upstreams, 0 problems
}

func TestWithMethodsDoNotModifyReceiver(t *testing.T) {
	base := declare.New().WithDataCentre("a", "r")
	base.WithDataCentre("b", "r")
	other := base.WithDataCentre("c", "r")
	if len(base.Config().DataCentres) != 1 || other.Config().DataCentres[1].Name != "c" {
		t.Errorf("base %v, other %v", base.Config().DataCentres, other.Config().DataCentres)
	}
}
