// Package brsystem tests whole processes: daemons and fake endpoints that are
// built and started as they would run, behind a fault-injecting proxy, frozen,
// cut off, killed and started again. It has no code outside its tests.
package brsystem
