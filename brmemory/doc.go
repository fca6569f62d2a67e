// Package brmemory decides whether a request fits into the memory of an endpoint, given what
// the daemons of a fleet have outstanding there. It answers the following load: many daemons
// send long prompts to shared endpoints, which crash when the requests that they hold exceed
// their memory, and know what the others have sent only from late reports.
package brmemory
