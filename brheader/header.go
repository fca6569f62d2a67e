package brheader

import (
	"net/http"
	"strings"
)

// hopByHop are the header fields that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// EndToEnd returns a copy of h without the hop-by-hop fields: the standard ones, and
// those that the Connection fields of h list. The result is never nil.
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
