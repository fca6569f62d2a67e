// Package brcanary decides on the rollout of a new version of a service: it
// shifts traffic to the new version within a short time or rolls it back. Decide
// is a pure function of the elapsed time and the counts of all daemons. It returns
// the new version's share of the traffic and the outcome.
//
// The new version is compared with the old one over the same period and for each
// route, so that a fault on one route isn't hidden by the others. It gets a small
// share for half of the time. The share then grows in steps, each of which is long
// enough to detect a fault that appears only under load.
package brcanary
