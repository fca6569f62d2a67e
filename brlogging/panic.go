package brlogging

import (
	"fmt"

	"github.com/rs/zerolog"
)

// PanicHandler returns a function for brpeer.Mux.OnPanic that logs the panic.
func PanicHandler(log zerolog.Logger) func(name string, value any, stack []byte) {
	return func(name string, value any, stack []byte) {
		log.Error().Str("name", name).Str("panic", fmt.Sprint(value)).Bytes("stack", stack).
			Msg("handler of a message from another daemon panicked")
	}
}
