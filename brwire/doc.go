// Package brwire defines the messages that the system's processes exchange and
// the generic CBOR codec that carries them. Keys are snake case; unknown keys
// are ignored so that two releases can run side by side.
package brwire
