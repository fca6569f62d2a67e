// Package brwire defines the messages exchanged between the processes of the system
// and the generic CBOR codec that encodes them. Keys are in snake case. Unknown keys
// are ignored, so that two releases can run side by side.
package brwire
