// Package brctl is the logic of bramleyctl, the operators' command-line tool. It
// calls the operators' interface of package broperator, prints tables for people
// or JSON for scripts, and turns errors into exit codes.
//
// A command that changes something has a command id, which is printed before the
// command is sent. The daemons answer a command that is sent again with the same
// id with its first answer, so the tool itself sends it to the next address when
// the outcome at the former one is unknown.
package brctl
