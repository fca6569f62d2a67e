// Command bramleyroute runs a daemon of the request scheduler. The settings assign
// it one or more of the roles entry, scheduler and control.
package main
