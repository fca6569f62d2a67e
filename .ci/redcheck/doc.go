// Command redcheck reads the output of "go test -json" and fails when a test
// failed that KNOWN-RED.txt doesn't list, or when a listed test passed.
package main
