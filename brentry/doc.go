// Package brentry serves callers. An entry decodes and admits a request, holds it
// until the pool's scheduler grants a dispatch, dispatches it once, and passes
// the whole answer on. It talks to the other roles only through function fields
// and the methods Grant, Refuse, Join and Attach, so that it runs without a
// network in tests and in other programs.
package brentry
