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

// Answer is what one try of a request got.
type Answer struct {
	RequestID string
	Endpoint  string
	Tokens    int
	Whole     bool // complete, in order and of the request's own id
	Foreign   bool // a chunk was not part of the request's own answer
	Usage     brengine.Usage
	Failure   brengine.ErrorBody // Kind is empty without a refusal
	Err       error              // of the connection or the stream
	First     time.Time          // of the first token; zero when none came
	Last      time.Time          // of the last token
	Ended     time.Time
	Gaps      []time.Duration // between chunks, per token

	onFirst func()
}

// NotRun reports whether the answer says that the request was not run.
func (a Answer) NotRun() bool { return a.Failure.Outcome == brerror.NotRun.String() }

// maxLine bounds one event of a stream, in bytes.
const maxLine = 1 << 20

// call is one streamed completion.
type call struct {
	address string // host:port
	key     string // bearer key; empty sends none
	id      string // request id, which the text must carry
	body    brengine.Completion
	want    int           // tokens of the whole answer
	left    time.Duration // until the caller's deadline; 0 states none
	onFirst func()        // at the first token; may be nil
}

// exchange posts c and reads the answer.
func exchange(ctx context.Context, client *http.Client, c call) Answer {
	a := Answer{RequestID: c.id, onFirst: c.onFirst}
	body, err := json.Marshal(c.body)
	if err != nil {
		panic("brload: encode completion: " + err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+brengine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	r.Header.Set(brengine.HeaderRequestID, c.id)
	if c.left > 0 {
		r.Header.Set(brengine.HeaderDeadline, strconv.FormatInt(max(1, c.left.Milliseconds()), 10))
	}
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	res, err := client.Do(r)
	if err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	defer res.Body.Close()
	a.Endpoint = res.Header.Get(brengine.HeaderEndpoint)
	if res.StatusCode != http.StatusOK {
		a.refused(res)
	} else {
		a.read(res.Body, c.want)
	}
	a.Ended = time.Now()
	return a
}

func (a *Answer) refused(res *http.Response) {
	var e brengine.Error
	if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
		a.Err = fmt.Errorf("status %d: %w", res.StatusCode, err)
		return
	}
	a.Failure = e.Error
}

func (a *Answer) read(body io.Reader, want int) {
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
			a.Whole = !a.Foreign && a.Tokens == want && a.Failure.Kind == ""
			return
		case event == "error" || strings.HasPrefix(data, `{"error"`):
			var e brengine.Error
			if a.Err = json.Unmarshal([]byte(data), &e); a.Err == nil {
				a.Failure = e.Error
			}
			return
		}
		a.chunk([]byte(data))
	}
	a.Err = fmt.Errorf("answer ended early: %w", nonNil(sc.Err()))
}

func nonNil(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunk checks one chunk against the text that brfake gives for the id.
func (a *Answer) chunk(data []byte) {
	var c brengine.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		a.Foreign, a.Err = true, err
		return
	}
	text := ""
	for _, ch := range c.Choices {
		text += ch.Text
	}
	if c.Offset != a.Tokens || text != brfake.Text(a.RequestID, c.Offset, c.Offset+c.Tokens) {
		a.Foreign = true
	}
	if c.Usage != nil {
		a.Usage = *c.Usage
	}
	if c.Tokens == 0 {
		return
	}
	now := time.Now()
	if a.First.IsZero() {
		a.First = now
		if a.onFirst != nil {
			a.onFirst()
		}
	} else {
		a.Gaps = append(a.Gaps, now.Sub(a.Last)/time.Duration(c.Tokens))
	}
	a.Last = now
	a.Tokens += c.Tokens
}
