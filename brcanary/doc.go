// Package brcanary decides on the rollout of a new version of a service: it
// shifts traffic to the new version within a short time or rolls it back.
// Progress.Decide is a pure function of the elapsed time, the counts of all daemons and
// the counts at the start of each stage. It returns the new version's share of the
// traffic and the outcome.
//
// The new version is compared with the old one over the same period and for each
// route, so that a fault on one route isn't hidden by the others, and also since the
// start of each stage, so that one that begins later isn't hidden by the responses
// before it. It gets a small share for nearly half of the time. The share then grows in
// steps to a half, and falls again until the responses to these requests have come, so
// that a fault that appears only under load is known before the new version gets all.
package brcanary
