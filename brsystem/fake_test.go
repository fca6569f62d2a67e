package brsystem

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"bramleyroute/brfake"
	"bramleyroute/brtest"
	"github.com/Shopify/toxiproxy/v2"
)

// fake is a running fake endpoint.
type fake struct {
	process
	id, address string
	proxy       *toxiproxy.Proxy // in front of the endpoint
}

// addFake starts a fake endpoint behind a proxy and waits until its pool has it
// in use.
func (c *cluster) addFake(id string, flags ...string) *fake {
	c.t.Helper()
	f := &fake{id: id, address: brtest.FreeAddress(c.t)}
	f.proxy = c.newProxy(id, f.address)
	args := []string{binaries + "/brfake", "--id=" + id, "--listen=" + f.address, "--advertise=" + f.proxy.Listen, "--region=" + region}
	if !slices.ContainsFunc(flags, func(x string) bool { return strings.HasPrefix(x, "--model=") }) {
		args = append(args, "--model="+model)
	}
	for _, d := range c.daemons {
		args = append(args, "--daemon="+d.peer)
	}
	f.process = c.newProcess(id, append(args, flags...)...)
	f.start()
	c.fakes = append(c.fakes, f)
	c.eventually("endpoint "+id+" in use", func() bool { return c.endpointState(id) == "in_use" })
	return f
}

// counts returns the counters of the endpoint, which start at zero with its process.
func (f *fake) counts() brfake.Counts {
	f.t.Helper()
	var n brfake.Counts
	res, err := http.Get("http://" + f.address + "/debug/counts")
	if err != nil {
		f.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&n); err != nil {
		f.t.Fatal(err)
	}
	return n
}

// injectFault posts a fault request to the endpoint.
func (f *fake) injectFault(r brfake.FaultRequest) {
	f.t.Helper()
	b, err := json.Marshal(r)
	if err != nil {
		f.t.Fatal(err)
	}
	res, err := http.Post("http://"+f.address+"/debug/fault", "application/json", bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	res.Body.Close()
}
