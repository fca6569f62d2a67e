// Package brctl implements bramleyctl, the operators' command-line tool. It
// calls the operators' interface of package broperator, prints tables for
// people or JSON for scripts, and maps errors to exit codes.
//
// A command that changes something has a command ID, which is printed before
// the command is sent. Daemons respond to a resend with the same ID as they did
// to the first one, so the tool itself sends a command to the next address when
// the outcome at the previous one is unknown.
package brctl
