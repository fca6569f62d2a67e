// Command redcheck reads the output of "go test -json" from standard input. It fails
// if a test failed that KNOWN-RED.txt does not list, if a package failed outside of
// any test, or if a listed test did not fail. It exits with status 1 in these cases
// and with status 2 if it cannot read its input.
package main
