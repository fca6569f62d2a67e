package brctl

import (
	"errors"
	"fmt"

	"bramleyroute/brconfig"
	"bramleyroute/brerror"
)

// Exit codes of bramleyctl.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any error without a code of its own
	ExitUsage       = 2 // the command line is wrong
	ExitConflict    = 3 // the current state is not the expected one
	ExitInvalid     = 4 // refused as invalid; the same command will be refused again
	ExitUnavailable = 5 // not run; it may be sent again later
	ExitUnknown     = 6 // may have run; the same command must be sent again, with its command ID
	ExitWarnings    = 7 // a configuration is valid, but a check has warnings
)

// ExitCodes describes the exit codes, for the help and the reference page.
func ExitCodes() []string {
	return []string{
		"0  done",
		"1  failed for another reason, such as an unknown key or a rollout that was rolled back",
		"2  the command line is wrong",
		"3  conflict: the current state is not the one that the command expects; the message gives the current one",
		"4  refused as invalid; the message names the field",
		"5  unavailable and not run: try again later",
		"6  outcome unknown: send the command again, with the same --command-id if it has one",
		"7  the checked configuration is valid, but has entries without effect or contradictions",
	}
}

// usageError is an error in the command line that kingpin doesn't detect.
type usageError struct{ text string }

// Error returns the text.
func (e usageError) Error() string { return e.text }

// unknownError is the error of a command that may have been committed.
type unknownError struct {
	commandID string // empty for a command that can be repeated without harm
	cause     error
}

// Error returns the cause and how to find out the outcome.
func (e *unknownError) Error() string {
	if e.commandID == "" {
		return fmt.Sprintf("outcome unknown: %v\nsend the same command again: repeating it does no harm", e.cause)
	}
	return fmt.Sprintf("outcome unknown: %v\nsend the same command again with --command-id %s: it is executed at most once and its outcome is reported", e.cause, e.commandID)
}

// Unwrap returns the cause.
func (e *unknownError) Unwrap() error { return e.cause }

// unavailableError is the error of a call to which no daemon responded and that
// changed nothing.
type unavailableError struct{ cause error }

// Error returns the cause.
func (e *unavailableError) Error() string { return "unavailable: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unavailableError) Unwrap() error { return e.cause }

// exitCode returns the exit code for an error, ExitOK for nil.
func exitCode(err error) int {
	var usage usageError
	var unknown *unknownError
	var unavailable *unavailableError
	var parse *brconfig.ParseError
	var daemonErr *brerror.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.As(err, &parse):
		return ExitInvalid
	case errors.As(err, &daemonErr):
		return kindCode(daemonErr.Kind)
	}
	return ExitFailed
}

func kindCode(k brerror.Kind) int {
	switch k {
	case brerror.RevisionConflict:
		return ExitConflict
	case brerror.InvalidRequest, brerror.UnknownModel, brerror.UnknownRequest, brerror.TooLarge, brerror.TooOld, brerror.OrderRefused:
		return ExitInvalid
	}
	switch resp := k.Response(); {
	case resp.Retry && resp.Outcome == brerror.NotRun:
		return ExitUnavailable
	case resp.Retry:
		return ExitUnknown
	}
	return ExitFailed
}
