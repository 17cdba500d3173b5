package front_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/auburnnotch/auburnnotch/internal/testlib"
	"github.com/auburnnotch/auburnnotch/pkg/config"
)

// Guards against whole requests on kept connections that get neither an answer nor a refusal, or
// whose connection ends without having been announced.
func TestSeriesOfRequestsIsAnswered(t *testing.T) {
	f := newFixture(t, config.Limits{BodyBytes: 400 << 10}, answer)
	testlib.Series{
		Addr: f.addr, Conns: 8, Requests: 60,
		Head: func(rnd *rand.Rand) string {
			key := testlib.Key
			if rnd.IntN(5) == 0 {
				key = "gone"
			}
			path := []string{"/v1/services/orders/stock", "/v1/services/orders/stock", "/v1/services/none/x", "/v2/x"}[rnd.IntN(4)]
			return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n"
		},
		Check: func(resp *http.Response) error {
			switch resp.StatusCode {
			case http.StatusOK, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge:
				return nil
			}
			return fmt.Errorf("status %d", resp.StatusCode)
		},
	}.Run(t)
}
