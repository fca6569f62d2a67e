package brentry

import (
	"testing"

	"bramleyroute/brerror"
)

// Guards against a body that makes the decoder panic or accept an invalid completion,
// and against an error without a kind or a field.
func FuzzDecodeCompletion(f *testing.F) {
	for _, s := range []string{`{"model":"m","prompt":"a","max_tokens":3}`, `{"prompt":[]}`, `{"max_tokens":1e99}`, `[`, `{"x":1}`, `{"model":"m","prompt":"a"}{}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := decodeCompletion(body)
		if err == nil {
			if c.Prompt == "" || c.MaxTokens < 0 || c.Model == "" && c.Route == "" {
				t.Errorf("invalid completion was accepted: %+v", c)
			}
			return
		}
		if e := brerror.From(err); e.Kind != brerror.InvalidRequest || e.Field == "" {
			t.Errorf("error %v has kind %v and field %q, want invalid_request and a field", err, e.Kind, e.Field)
		}
	})
}
