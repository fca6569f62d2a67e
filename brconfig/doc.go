// Package brconfig defines the configuration that operators write: templates of
// routes, the customers that use them with their parameters, and limits for the
// pools. A document is checked as a whole before it is accepted, and compiled
// into a lookup table for entries.
package brconfig
