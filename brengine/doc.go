// Package brengine defines the HTTP interface of model engines: paths, headers, JSON
// bodies, server-sent events and orders. Callers of the entry use the same completion
// body. The interface follows the usual completion API of such engines, with an
// additional offset in each chunk that allows a stream to be resumed.
package brengine
