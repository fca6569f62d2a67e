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
	p.logPanic(q, v, "panic while serving a request")
	if q.headSent {
		panic(http.ErrAbortHandler)
	}
	q.out.Header().Del("Content-Length")
	http.Error(q.out, "internal_error", http.StatusInternalServerError)
}

// recoverSearch logs a panic in a goroutine that seeks a successor for q. Nothing else would
// recover it there, and the process would end with all requests in progress. It must be
// deferred.
func (p *Proxy) recoverSearch(q *request) {
	if v := recover(); v != nil {
		p.logPanic(q, v, "panic while seeking another endpoint")
	}
}

func (p *Proxy) logPanic(q *request, v any, message string) {
	p.cfg.Log.Error().Str("id", q.call.ID).Interface("panic", v).Bytes("stack", debug.Stack()).Msg(message)
}
