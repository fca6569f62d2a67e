package brlogging

import (
	"sync"

	"github.com/rs/zerolog"
)

// maxLoggedNames bounds the names that a handler of dropped messages remembers, since
// another daemon chooses them.
const maxLoggedNames = 64

// DroppedHandler returns a function for brpeer.Mux.OnDropped. It logs the first dropped
// message of each of at most maxLoggedNames names: another build may send many.
func DroppedHandler(log zerolog.Logger) func(name string, err error) {
	var mu sync.Mutex
	logged := map[string]bool{}
	return func(name string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if logged[name] || len(logged) == maxLoggedNames {
			return
		}
		logged[name] = true
		log.Warn().Str("name", name).Err(err).Msg("messages of this name from another build are dropped")
	}
}
