// Package brfleet assembles one daemon of a fleet whose daemons discover each
// other. It combines soft-state records shared over brgossip, the durable state of
// brcore and the caller-facing proxy of brproxy. The package defines no wire
// format for callers, endpoints or operators; the embedding program decodes their
// messages into the types of this package.
package brfleet
