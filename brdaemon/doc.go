// Package brdaemon assembles the roles of a bramleyroute daemon: it connects
// the pure packages to listeners, links, timers and disks, and stops them in
// order. It holds no decisions of its own.
package brdaemon
