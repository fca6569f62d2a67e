// Command brfake runs a fake engine or plain service on one address.
package main
