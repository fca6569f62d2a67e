// Package broperator defines the operators' HTTP interface of a daemon: JSON
// bodies with snake case keys, a generic handler, and the client that
// bramleyctl uses.
package broperator
