package brconn

import (
	"errors"
	"testing"
)

// TestOddAddress guards against an address that can't be dialed and that ends the process,
// blocks, or counts as a request that may have run.
func TestOddAddress(t *testing.T) {
	p := newPool()
	defer p.Close()
	for _, address := range []string{"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:1e9", "[::1", "127.0.0.1:1:1", "\xff:1"} {
		_, err := send(p, address, "1", "POST")
		var sent *SendError
		if !errors.As(err, &sent) || sent.MaybeSent {
			t.Errorf("address %q: error %v, want a SendError without MaybeSent set", address, err)
		}
	}
}
