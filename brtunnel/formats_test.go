package brtunnel

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"bramleyroute/brtest"
)

// TestFormats guards against tunnels that a relay or a client of another build can't open
// or read, or whose end it takes for another one.
func TestFormats(t *testing.T) {
	type read struct {
		Text string
		Err  string
	}
	frames := func(name string, e end, want string) brtest.Format {
		return brtest.Raw(name, read{"answer", want}, func() ([]byte, error) {
			b := make([]byte, headerBytes)
			putHeader(b, kindData, len("answer"))
			return append(append(b, "answer"...), endFrame(e)...), nil
		}, func(b []byte) (read, error) {
			f := &frameReader{reader: bufio.NewReader(bytes.NewReader(b))}
			text := make([]byte, len("answer"))
			if _, err := io.ReadFull(f, text); err != nil {
				return read{}, err
			}
			_, err := f.Read(make([]byte, 1))
			return read{string(text), err.Error()}, nil
		})
	}
	brtest.CheckFormats(t,
		brtest.Value("open", []string{Path, protocol, addressQuery, causeHeader}),
		brtest.Value("causes", causes),
		frames("closed", endClosed, io.EOF.Error()),
		frames("reset", endReset, ErrReset.Error()),
		frames("silent", endSilent, ErrSilent.Error()),
	)
}
