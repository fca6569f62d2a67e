package brproxy

import (
	"net/http"
	"runtime/debug"
)

// recoverPanic ends a request whose handler has panicked: net/http would close the
// connection without a response, and nothing would be logged here. It must be deferred.
func (p *Proxy) recoverPanic(q *request) {
	v := recover()
	switch {
	case v == nil:
		return
	case v == http.ErrAbortHandler:
		panic(v)
	}
	p.stats.Failed.Add(1)
	p.cfg.Log.Error().Str("id", q.call.ID).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("panic while serving a request")
	if q.headSent {
		panic(http.ErrAbortHandler)
	}
	q.out.Header().Del("Content-Length")
	http.Error(q.out, "internal_error", http.StatusInternalServerError)
}
