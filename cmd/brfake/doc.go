// Command brfake runs a fake model engine or plain service on one address.
package main
