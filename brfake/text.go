package brfake

import (
	"strconv"
	"strings"

	"bramleyroute/brengine"
)

const (
	// tailLength is how much of the end of a request id marks its tokens. The
	// start of a UUIDv7 is its time, which neighbours share.
	tailLength = 8
	// answerKey sets the answer's length from the last word of a prompt.
	answerKey = "answer_tokens="
)

// AppendToken appends the text of token n of the answer to request id, in the
// form "<end of the id>:<n> ".
func AppendToken(b []byte, id string, n int) []byte {
	b = append(b, id[max(0, len(id)-tailLength):]...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, ' ')
}

// Text returns the text of the tokens from index from up to index to, exclusive,
// of the answer to request id.
func Text(id string, from, to int) string {
	var b []byte
	for n := from; n < to; n++ {
		b = AppendToken(b, id, n)
	}
	return string(b)
}

// answerTokens returns the length of an answer: MaxTokens, or less when the last
// word of the prompt is "answer_tokens=N".
func answerTokens(c brengine.Completion) int {
	n := max(1, c.MaxTokens)
	last := c.Prompt[strings.LastIndexAny(c.Prompt, " \n\t")+1:]
	if v, ok := strings.CutPrefix(last, answerKey); ok {
		if a, err := strconv.Atoi(v); err == nil && a > 0 {
			n = min(n, a)
		}
	}
	return n
}
