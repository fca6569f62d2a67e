// Package brdaemon assembles a bramleyroute daemon from its roles: it connects
// the pure packages to listeners, links, timers and disks, and stops them in
// order. All decisions are made by those packages.
package brdaemon
