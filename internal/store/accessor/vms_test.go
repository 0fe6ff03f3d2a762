package accessor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/store/accessor"
)

// statusCounter counts the responses with status 304 Not Modified.
type statusCounter struct{ unchanged atomic.Int64 }

func (s *statusCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && res.StatusCode == http.StatusNotModified {
		s.unchanged.Add(1)
	}
	return res, err
}

// TestListOfOneCentre checks that Centre limits the list to that data centre's
// VMs and all daemons, and that an unchanged list is not sent again.
func TestListOfOneCentre(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(&keeper.Server{Objects: new(keeper.Objects)})
	defer server.Close()
	put := func(id, role, centre string) {
		body := `{"role":"` + role + `","centre":"` + centre + `"}`
		req, err := http.NewRequest(http.MethodPut, server.URL+"/v1/vms/"+id, strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		res, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Body.Close(), qt.IsNil)
	}
	put("d1", "entry", "north")
	put("d2", "entry", "south")
	put("e1", "engine", "north")
	put("e2", "engine", "south")
	counter := new(statusCounter)
	a := accessor.New(server.URL)
	a.Centre = "north"
	a.Transport = counter
	ids := func() string {
		vms, err := a.VMs(context.Background())
		c.Assert(err, qt.IsNil)
		var ids []string
		for _, vm := range vms {
			ids = append(ids, vm.ID)
		}
		return strings.Join(ids, " ")
	}
	c.Check(ids(), qt.Equals, "d1 d2 e1")
	c.Check(ids(), qt.Equals, "d1 d2 e1")
	c.Check(counter.unchanged.Load(), qt.Equals, int64(1))
	put("e3", "engine", "north")
	c.Check(ids(), qt.Equals, "d1 d2 e1 e3")
	c.Check(counter.unchanged.Load(), qt.Equals, int64(1))
}
