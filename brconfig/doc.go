// Package brconfig defines the configuration document that operators write:
// templates of routes, the customers that use them with their own parameters, and
// limits of the pools. A document is checked as a whole before it is accepted, and
// compiled into a lookup table for entries.
package brconfig
