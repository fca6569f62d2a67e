// Package brsystem contains end-to-end tests. They build the daemon and the fake
// endpoint, run them as separate processes behind fault-injecting proxies, and
// freeze, isolate, kill and restart them. The package has no code outside its
// tests.
package brsystem
