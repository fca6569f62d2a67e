// Package brlogging writes log lines without blocking the caller. Lines are buffered
// in limited memory and written by one goroutine. Lines that do not fit into the
// buffer are dropped, counted and reported in the log.
package brlogging
