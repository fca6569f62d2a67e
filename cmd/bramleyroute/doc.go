// Command bramleyroute runs a daemon of the request scheduler: an entry, a
// scheduler, a control replica, or any set of these, by its settings.
package main
