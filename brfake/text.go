package brfake

import (
	"strconv"
	"strings"

	"bramleyroute/brengine"
)

const (
	// idSuffixLength is the length of the request ID suffix in each token. The start
	// of a UUIDv7 is its timestamp, which requests created at about the same time
	// share.
	idSuffixLength = 8
	// responseTokensPrefix in the last word of a prompt sets the length of the
	// response.
	responseTokensPrefix = "answer_tokens="
)

// AppendToken appends the text of token n of the response to the request with this ID,
// in the form "<suffix of the ID>:<n> ".
func AppendToken(b []byte, id string, n int) []byte {
	b = append(b, id[max(0, len(id)-idSuffixLength):]...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, ' ')
}

// Text returns the text of the tokens with index in [from, to) of the response to the
// request with this ID.
func Text(id string, from, to int) string {
	var b []byte
	for n := from; n < to; n++ {
		b = AppendToken(b, id, n)
	}
	return string(b)
}

// responseTokens returns the length of a response, in tokens: MaxTokens, or N if the
// last word of the prompt is "answer_tokens=N" and N is less than MaxTokens.
func responseTokens(c brengine.Completion) int {
	n := max(1, c.MaxTokens)
	lastWord := c.Prompt[strings.LastIndexAny(c.Prompt, " \n\t")+1:]
	if v, ok := strings.CutPrefix(lastWord, responseTokensPrefix); ok {
		if a, err := strconv.Atoi(v); err == nil && a > 0 {
			n = min(n, a)
		}
	}
	return n
}
