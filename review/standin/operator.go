//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host         = "collation.example"
	apiKey       = "i9n73hh2b9wu3fexd9dn"
	reviewPrefix = "/proof-review/"
	checkPrefix  = "/seq-check/"
	lookupPrefix = "/stock-lookup/"
	lmService    = "lm-servers"
	ordersApp    = "orders-app"
)

type object = map[string]any

// configuration returns a configuration with routes like those of the site barajas-quito.
func configuration(version int) []byte {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) object {
		return object{
			"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": 1, "service": service, "max_attempts": attempts,
			"allow_anonymous": false, "session_affinity": kind == "streaming", "stream_resume": false, "gap_target_ms": 200,
		}
	}
	b, err := json.Marshal(object{
		"version": version,
		"routes": []object{
			route("r-review", reviewPrefix, "streaming", lmService, 8000, 600, 1),
			route("r-check", checkPrefix, "streaming", lmService, 15000, 300, 1),
			route("r-lookup", lookupPrefix, "safe", ordersApp, 1000, 150, 2),
		},
		"services": []object{
			{"name": lmService, "health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "engine": object{
				"slots": 7, "kv_capacity_tokens": 355565, "kv_token_bytes": 163840, "link_mbps": 180000.0, "moves": true,
				"backups": true, "stride": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []object{{"name": "m"}},
			}},
			{"name": ordersApp, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// putConfig sends a configuration to one daemon and returns the status, 0 for none.
func putConfig(d *daemon, body []byte) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+d.address(controlPort)+"/-/config", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Content-Type", "application/json")
	return statusOf(plain.Do(r))
}

// patient is the client that reads the configuration back. It waits longer than callers do,
// so that a refusal shows as such.
var patient = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// getConfig reads the configuration at one daemon. It returns the status, 0 for none, and
// the version.
func getConfig(d *daemon) (status, version int) {
	r, err := patient.Get("http://" + d.address(controlPort) + "/-/config")
	if err != nil {
		return 0, 0
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, 0
	}
	var c struct{ Version int }
	if r.StatusCode == http.StatusOK && json.Unmarshal(b, &c) != nil {
		return 0, 0
	}
	return r.StatusCode, c.Version
}

func statusOf(r *http.Response, err error) int {
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// acknowledge sends a small configuration until it is acknowledged.
func (w *world) acknowledge(version int, within time.Duration, daemons ...*daemon) error {
	return w.acknowledgeBody(version, configuration(version), within, daemons...)
}

// acknowledgeBody sends a configuration to one daemon after the other until it is
// acknowledged.
func (w *world) acknowledgeBody(version int, body []byte, within time.Duration, daemons ...*daemon) error {
	deadline := time.Now().Add(within)
	last := ""
	for i := 0; time.Now().Before(deadline); i++ {
		d := daemons[i%len(daemons)]
		status := putConfig(d, body)
		if status == http.StatusOK {
			w.log("operator: version %d acknowledged by %s", version, d.name)
			return nil
		}
		if s := fmt.Sprintf("operator: version %d sent to %s: status %d", version, d.name, status); s != last {
			w.log("%s", s)
			last = s
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d wasn't acknowledged within %v", version, within)
}

// startCore starts the machines of a small deployment and returns those with a disk and the
// other ones.
func (w *world) startCore(fronts int) (core, others []*daemon, err error) {
	zones := []string{"quito-a", "quito-b", "quito-c"}
	for i, zone := range zones {
		core = append(core, w.newDaemon(fmt.Sprintf("front-%s-1", zone), zone, true))
		if i < fronts {
			others = append(others, w.newDaemon(fmt.Sprintf("front-%s-2", zone), zone, false))
		}
	}
	for _, d := range append(append([]*daemon{}, core...), others...) {
		if err := d.begin(core, true); err != nil {
			return nil, nil, err
		}
	}
	if err := w.acknowledge(7, 20*time.Second, core...); err != nil {
		return nil, nil, err
	}
	return core, others, nil
}
