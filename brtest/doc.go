// Package brtest contains helpers that the tests of several packages share.
package brtest
