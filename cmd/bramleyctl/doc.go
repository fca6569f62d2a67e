// Command bramleyctl operates a bramleyroute installation.
package main
