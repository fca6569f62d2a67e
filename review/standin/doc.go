//go:build review

// Command standin plays the review's cases. It starts the daemons of the project as
// separate processes and plays the clients, the workers, the operator and the platform
// around them, as the platform's pages describe them.
package main
