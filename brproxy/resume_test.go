package brproxy

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bramleyroute/brtest"

	"github.com/google/go-cmp/cmp"
)

// streamOf returns a complete response in chunks that holds the events first to last.
func streamOf(first, last int) string {
	var body strings.Builder
	for i := first; i <= last; i++ {
		body.WriteString(event(i))
	}
	return chunkedHead + inChunk(body.String())
}

// secondAnswerTest is the answer of the second endpoint to a request for a stream whose
// first endpoint broke off in its third event, and what the caller gets.
type secondAnswerTest struct {
	name, second string
	want         rawResponse
}

// brokenOff is the response of the first endpoint as far as it may be relayed.
var brokenOff = rawResponse{200, event(1) + event(2), false}

// testSecondAnswers runs tests with each framing of the first answer, and that of the
// response over chunks and over a connection that ends.
func testSecondAnswers(t *testing.T, tests []secondAnswerTest) {
	t.Helper()
	begun := event(1) + event(2) + "id: 3\nda"
	firsts := map[string]string{
		"first in chunks":        chunkedHead + fmt.Sprintf("%x\r\n%s\r\n", len(begun), begun),
		"first without a length": unframedHead + begun,
	}
	for framing, first := range firsts {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, test := range tests {
				t.Run(framing+"/"+version+"/"+test.name, func(t *testing.T) {
					handler := func(w http.ResponseWriter, r *http.Request) {
						response := first
						if r.Header.Get("Last-Event-Id") != "" {
							response = test.second
						}
						brtest.RawHandler(t, response)(w, r)
					}
					s := newSystem(t, handler, handler)
					got := s.doRaw(t, version, "/resume/", "")
					if version == "HTTP/1.0" && !got.Complete && strings.HasPrefix(brokenOff.Body, got.Body) {
						got = brokenOff // a reset discards bytes that have arrived
					}
					if diff := cmp.Diff(test.want, got); diff != "" {
						t.Errorf("response (-want +got): %s", diff)
					}
				})
			}
		}
	}
}

// TestSecondAnswerOfStream guards against bytes of another answer in the middle of a
// stream that its first endpoint broke off, and against a stream that looks complete
// since the second endpoint's answer did, over chunks and over a connection that ends.
func TestSecondAnswerOfStream(t *testing.T) {
	whole, broken := rawResponse{200, event(1) + event(2) + event(3), true}, brokenOff
	testSecondAnswers(t, []secondAnswerTest{
		{"goes on", streamOf(3, 3), whole},
		{"goes on without a length", unframedHead + event(3), whole},
		{"goes on after a comment", chunkedHead + inChunk(":\n\n"+event(3)), rawResponse{200, event(1) + event(2) + ":\n\n" + event(3), true}},
		{"failure", "HTTP/1.1 500 Failed\r\nContent-Length: 13\r\n\r\nout of memory", broken},
		{"failure without a length", "HTTP/1.1 500 Failed\r\n\r\nout of memory\n\n", broken},
		{"failure in events", strings.Replace(streamOf(3, 3), "200 OK", "500 Failed", 1), broken},
		{"large failure", "HTTP/1.1 500 Failed\r\n\r\n" + strings.Repeat("x\n\n", maxBufferedBody), broken},
		{"object", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 8\r\n\r\n{\"a\":1}\n", broken},
		{"object with an empty line", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n{\"a\":1}\n\n", broken},
		{"text like events", strings.Replace(streamOf(3, 3), "text/event-stream", "text/plain", 1), broken},
		{"no media type", strings.Replace(streamOf(3, 3), "Content-Type: text/event-stream\r\n", "", 1), broken},
		{"encoded", strings.Replace(streamOf(3, 3), "Transfer", "Content-Encoding: gzip\r\nTransfer", 1), broken},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", broken},
		{"partial content", strings.Replace(streamOf(3, 3), "200 OK", "206 Partial Content", 1), broken},
		{"not run", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", broken},
		{"misdirected", "HTTP/1.1 421 Misdirected\r\nContent-Length: 5\r\n\r\nother", broken},
		{"redirect", "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 4\r\n\r\nmove", broken},
		{"breaks off before an event", chunkedHead, broken},
		{"breaks off before an event, without a length", unframedHead, broken},
		{"breaks off in an event", unframedHead + "id: 3\nda", broken},
		{"only a head", "HTTP/1.1 200 OK\r\nContent-Ty", broken},
		{"no answer in the protocol", "out of memory\n\n", broken},
	})
}
