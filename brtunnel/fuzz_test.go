package brtunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"bramleyroute/brevent"

	"github.com/google/go-cmp/cmp"
)

// parseFrames is a second implementation of frameReader for a whole input. It returns
// the content and the end, or 0 if there is no valid end frame.
func parseFrames(b []byte) (content []byte, e end) {
	for len(b) >= headerBytes {
		kind, n := b[0], int(b[1])<<8|int(b[2])
		b = b[headerBytes:]
		switch {
		case kind == kindData && n > 0:
			content = append(content, b[:min(n, len(b))]...)
			b = b[min(n, len(b)):]
		case kind == kindEnd && n == 1 && len(b) > 0:
			return content, end(b[0])
		default:
			return content, 0
		}
	}
	return content, 0
}

// FuzzFrameReader guards against a proper end, or an end by the endpoint, that no end
// frame states, and against content that depends on how the bytes arrive.
func FuzzFrameReader(f *testing.F) {
	for _, seed := range []string{
		"", "D", "D\x00\x04body", "D\x00\x04bodyE\x00\x01c", "D\x00\x04bodyE\x00\x01r", "E\x00\x01s", "E\x00\x01x",
		"E\x00\x02cc", "E\x00\x01", "D\x00\x00E\x00\x01c", "D\x00\x09bodyE\x00\x01c", "D\x00\x01aD\x00\x01bE\x00\x01cE\x00\x01r",
	} {
		f.Add([]byte(seed), uint8(1))
		f.Add([]byte(seed), uint8(100))
	}
	f.Fuzz(func(t *testing.T, input []byte, size uint8) {
		var source io.Reader = bytes.NewReader(input)
		if size%2 == 1 {
			source = iotest.OneByteReader(source)
		}
		r := &frameReader{reader: bufio.NewReaderSize(source, readBufferBytes)}
		wantContent, wantEnd := parseFrames(input)
		var content []byte
		buffer := make([]byte, max(1, size))
		var err error
		for err == nil {
			var n int
			n, err = r.Read(buffer)
			content = append(content, buffer[:n]...)
		}
		if diff := cmp.Diff(wantContent, content); diff != "" {
			t.Errorf("content (-want +got):\n%s", diff)
		}
		want, known := map[end]error{endClosed: io.EOF, endReset: ErrReset, endSilent: ErrSilent}[wantEnd]
		if !known {
			want = ErrRelayLost
		}
		if !errors.Is(err, want) || known && err != want {
			t.Errorf("error %v, want %v", err, want)
		}
		if byEndpoint := wantEnd == endClosed || wantEnd == endReset; brevent.EndedByPeer(err) != byEndpoint {
			t.Errorf("EndedByPeer(%v) = %v, want %v", err, !byEndpoint, byEndpoint)
		}
	})
}

// FuzzRequest guards against a request that makes a server connect to an address that
// isn't allowed, connect without a key, or keep room without a tunnel.
func FuzzRequest(f *testing.F) {
	const allowed = "endpoint:1"
	for _, seed := range []string{
		"GET /v1/tunnel?address=endpoint:1 HTTP/1.1\r\nHost: h\r\nUpgrade: bramleyroute-tunnel\r\nAuthorization: Bearer key\r\n\r\n",
		"GET /v1/tunnel?address=other:1&address=endpoint:1 HTTP/1.1\r\nHost: h\r\nUpgrade: bramleyroute-tunnel\r\nAuthorization: Bearer key\r\n\r\n",
		"GET /v1/tunnel?address=endpoint:1 HTTP/1.1\r\nHost: h\r\nUpgrade: bramleyroute-tunnel\r\n\r\n",
		"POST /v1/tunnel?address=endpoint:1 HTTP/1.1\r\nHost: h\r\nAuthorization: key\r\n\r\n",
		"GET /v1/tunnel HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(input)))
		if err != nil {
			return
		}
		s := &Server{
			Keys: []string{"key"}, Allow: func(a string) bool { return a == allowed },
			Dial: func(_ context.Context, address string) (net.Conn, error) {
				if address != allowed || r.Method != http.MethodGet || r.Header.Get("Authorization") == "" {
					t.Errorf("connected to %q for the request %q", address, input)
				}
				c, _ := net.Pipe()
				return c, nil
			},
		}
		w := httptest.NewRecorder() // can't be hijacked, so that no tunnel opens
		s.ServeHTTP(w, r)
		s.Close()
		if stats := s.Stats(); w.Code < 400 || stats.Open != 0 || stats.Opened != 0 {
			t.Errorf("status %d, stats %+v, want a refusal", w.Code, stats)
		}
	})
}
