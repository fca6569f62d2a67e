// Package brcheck checks a configuration before it is sent: why a daemon would refuse it,
// what in it has no effect or contradicts itself, and how it differs from the one in
// force. It is pure; front ends read the files and ask the daemons.
package brcheck
