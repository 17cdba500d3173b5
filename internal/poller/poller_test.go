package poller_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/poller"
)

// Guards against one odd entry in the platform's list of VMs that hides all others, so
// that VMs that leave get new requests.
func TestOddVMHidesNoOthers(t *testing.T) {
	for _, odd := range []string{
		`{"name":5,"state":"gone"}`, `{"name":"vm-1","state":7}`, `{"name":["vm-1"]}`, `{}`, `null`, `7`, `1e400`, `"vm-1"`, `[]`, `[[{}]]`, `{"name":"","state":"gone"}`,
		`{"name":"vm-1","state":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
	} {
		var l poller.VMList
		if err := json.Unmarshal([]byte(`{"vms":[`+odd+`,{"name":"vm-2","state":"leaving"},`+odd+`,{"name":"vm-3","state":"live"}]}`), &l); err != nil {
			t.Errorf("%.60s: %v", odd, err)
		}
		var names []string
		for _, v := range l.VMs {
			if v.Name != "" {
				names = append(names, v.Name+" "+v.State)
			}
		}
		if !slices.Equal(names, []string{"vm-2 leaving", "vm-3 live"}) {
			t.Errorf("%.60s: VMs %q", odd, names)
		}
	}
}
