package brheader

import (
	"net/http"
	"strings"
)

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// EndToEnd returns a copy of h without the fields that concern one connection: the
// fixed ones, and those that h names in its Connection fields. It is never nil.
func EndToEnd(h http.Header) http.Header {
	if h == nil {
		return http.Header{}
	}
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
