// Package brsetting holds the table of the daemon's settings. Flags,
// environment variables, checks and the reference page all come from the table.
package brsetting
