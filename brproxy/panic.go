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
	p.reportPanic(q, v)
	if q.headSent {
		panic(http.ErrAbortHandler)
	}
	q.out.Header().Del("Content-Length")
	http.Error(q.out, "internal_error", http.StatusInternalServerError)
}

// logPanic recovers from a panic in a search for a successor of q, which would end the
// process. The request goes on at its endpoint. It must be deferred.
func (p *Proxy) logPanic(q *request) {
	if v := recover(); v != nil {
		p.reportPanic(q, v)
	}
}

func (p *Proxy) reportPanic(q *request, v any) {
	p.cfg.Log.Error().Str("id", q.call.ID).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("panic while serving a request")
}
