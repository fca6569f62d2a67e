// Package brsetting defines the daemon's settings in a table. Flags, environment
// variables, checks and the reference page are derived from the table.
package brsetting
