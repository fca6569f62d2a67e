package brload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyroute/brengine"
	"bramleyroute/brerror"
	"bramleyroute/brfake"
)

// Response is the result of one attempt.
type Response struct {
	RequestID      string
	Endpoint       string
	Tokens         int
	Complete       bool // complete, in order and with the text of this request ID
	Incorrect      bool // a chunk differs from the response to this request
	Usage          brengine.Usage
	Failure        brengine.ErrorBody // Kind is empty if the request did not fail
	Err            error              // error of the connection or the stream
	FirstTokenAt   time.Time          // arrival of the first token; zero if none arrived
	LastTokenAt    time.Time          // arrival of the last token
	EndedAt        time.Time
	TokenIntervals []time.Duration // interval between chunks, divided by the tokens of the later chunk

	onFirst func()
}

// NotRun reports whether the response states that the request was not run.
func (a Response) NotRun() bool { return a.Failure.Outcome == brerror.NotRun.String() }

// maxLine is the maximum length of a line of a stream, in bytes.
const maxLine = 1 << 20

// call is a streamed completion request.
type call struct {
	address      string // host:port
	key          string // bearer key; none if empty
	id           string // request ID, which determines the text of the response
	body         brengine.Completion
	outputTokens int           // length of the complete response
	timeout      time.Duration // value of the deadline header; omitted if 0
	onFirst      func()        // at the first token; may be nil
}

// exchange sends c and reads the response.
func exchange(ctx context.Context, client *http.Client, c call) Response {
	a := Response{RequestID: c.id, onFirst: c.onFirst}
	body, err := json.Marshal(c.body)
	if err != nil {
		panic("brload: encode completion: " + err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+brengine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		a.Err, a.EndedAt = err, time.Now()
		return a
	}
	r.Header.Set(brengine.HeaderRequestID, c.id)
	if c.timeout > 0 {
		r.Header.Set(brengine.HeaderDeadline, strconv.FormatInt(max(1, c.timeout.Milliseconds()), 10))
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	res, err := client.Do(r)
	if err != nil {
		a.Err, a.EndedAt = err, time.Now()
		return a
	}
	defer res.Body.Close()
	a.Endpoint = res.Header.Get(brengine.HeaderEndpoint)
	if res.StatusCode != http.StatusOK {
		a.readError(res)
	} else {
		a.readStream(res.Body, c.outputTokens)
	}
	a.EndedAt = time.Now()
	return a
}

func (a *Response) readError(res *http.Response) {
	var e brengine.Error
	if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
		a.Err = fmt.Errorf("decode error response with status %d: %w", res.StatusCode, err)
		return
	}
	a.Failure = e.Error
}

func (a *Response) readStream(body io.Reader, outputTokens int) {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	event := ""
	for sc.Scan() {
		line := sc.Text()
		if v, ok := strings.CutPrefix(line, "event: "); ok {
			event = v
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case data == brengine.DoneMarker:
			a.Complete = !a.Incorrect && a.Tokens == outputTokens && a.Failure.Kind == ""
			return
		case event == "error" || strings.HasPrefix(data, `{"error"`):
			var e brengine.Error
			if a.Err = json.Unmarshal([]byte(data), &e); a.Err == nil {
				a.Failure = e.Error
			}
			return
		}
		a.addChunk([]byte(data))
	}
	a.Err = fmt.Errorf("response ended before the done marker: %w", orUnexpectedEOF(sc.Err()))
}

func orUnexpectedEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addChunk adds a chunk and compares it with the text that brfake generates for the
// request ID.
func (a *Response) addChunk(data []byte) {
	var c brengine.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		a.Incorrect, a.Err = true, err
		return
	}
	text := ""
	for _, ch := range c.Choices {
		text += ch.Text
	}
	if c.Offset != a.Tokens || text != brfake.Text(a.RequestID, c.Offset, c.Offset+c.Tokens) {
		a.Incorrect = true
	}
	if c.Usage != nil {
		a.Usage = *c.Usage
	}
	if c.Tokens == 0 {
		return
	}
	now := time.Now()
	if a.FirstTokenAt.IsZero() {
		a.FirstTokenAt = now
		if a.onFirst != nil {
			a.onFirst()
		}
	} else {
		a.TokenIntervals = append(a.TokenIntervals, now.Sub(a.LastTokenAt)/time.Duration(c.Tokens))
	}
	a.LastTokenAt = now
	a.Tokens += c.Tokens
}
