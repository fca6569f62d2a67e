package brproxy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies what a caller asks for, so that a request that is sent again
// under another ID is recognized: its method, host, path, customer and body.
func (q *request) fingerprint() string {
	caller := q.call.Key
	if q.customer != nil {
		caller = q.customer.Name
	}
	d := xxhash.New()
	for _, field := range []string{q.in.Method, hostOnly(q.in.Host), q.in.RequestURI, caller} {
		_, _ = d.WriteString(field) // a Digest returns no error
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return strconv.FormatUint(d.Sum64(), 16)
}
