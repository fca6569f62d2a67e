// Package brformat lists the formats that cross builds of the daemon: what daemons of
// different builds send to each other, and what one build writes to a disk and another
// one reads. docs/UPGRADE.md has the same list for operators.
//
// Most formats are maps with named fields, of which a reader ignores those that it
// doesn't know. They change by added fields only. A change that an earlier build would
// misread needs a new version, which is written only once all daemons run a build that
// reads it.
package brformat
