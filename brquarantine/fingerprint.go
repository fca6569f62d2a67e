package brquarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a Request.ID: a hash of a request's body and of the other fields that
// make it the same request, such as path and customer, in a fixed order.
func Fingerprint(body []byte, fields ...string) string {
	return FingerprintParts([][]byte{body}, fields...)
}

// FingerprintParts is Fingerprint for a body in several parts.
func FingerprintParts(body [][]byte, fields ...string) string {
	d := xxhash.New()
	for _, field := range fields {
		_, _ = d.WriteString(field) // a Digest returns no error
		_, _ = d.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = d.Write(part)
	}
	return strconv.FormatUint(d.Sum64(), 16)
}
