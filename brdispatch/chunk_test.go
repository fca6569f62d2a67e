package brdispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a chunk that the scanner parses differently from encoding/json, and
// against input that makes it panic.
func FuzzParseChunk(f *testing.F) {
	for _, s := range []string{
		`{"id":"a","offset":3,"tokens":2,"choices":[{"index":0,"text":"x\"\u00e9 ","finish_reason":null}]}`,
		`{"id":"a","offset":0,"tokens":0,"x":[1,{"y":[]}],"choices":[],"usage":{"prompt_tokens":5}}`,
		`{"id":"\`, `{`, `{"id":"a","offset":99999999999,"tokens":1}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got Chunk
		if parseChunk(data, &got) != nil {
			return
		}
		// encoding/json matches struct fields with keys of any case; maps avoid this.
		var want map[string]json.RawMessage
		var choices []map[string]json.RawMessage
		var text, wantText string
		if json.Unmarshal(data, &want) != nil || json.Unmarshal(want["choices"], &choices) != nil || len(choices) == 0 {
			return // the scanner doesn't validate values that it skips
		}
		if json.Unmarshal(choices[0]["text"], &wantText) != nil || json.Unmarshal([]byte(`"`+string(got.Text)+`"`), &text) != nil {
			return
		}
		if text != wantText || fmt.Sprint(got.Offset) != string(want["offset"]) || fmt.Sprint(got.Tokens) != string(want["tokens"]) {
			t.Errorf("parsed %+v with text %q, want offset %s, tokens %s, text %q", got, text, want["offset"], want["tokens"], wantText)
		}
	})
}

// BenchmarkStream measures the throughput of a stream of one-token chunks.
func BenchmarkStream(b *testing.B) {
	const tokens = 100_000
	var body []byte
	for n := range tokens {
		finish, usage := "", ""
		if n == tokens-1 {
			finish, usage = `,"finish_reason":"length"`, `,"usage":{"completion_tokens":100000}`
		}
		body = fmt.Appendf(body, `data: {"id":"r","object":"text_completion","model":"m","version":"v1","offset":%d,"tokens":1,"choices":[{"index":0,"text":"r:%d "%s}]%s}`+"\n\n", n, n, finish, usage)
	}
	body = append(body, "data: [DONE]\n\n"...)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer srv.Close()
	c := &Client{}
	b.ReportAllocs()
	for b.Loop() {
		res, err := c.Complete(context.Background(), Request{RequestID: "r", Address: srv.Listener.Addr().String(), Chunk: func(*Chunk) error { return nil }})
		if err != nil || res.NextOffset != tokens {
			b.Fatal(res, err)
		}
	}
	b.ReportMetric(float64(tokens)*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
