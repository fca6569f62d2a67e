// Command brsoak runs the real programs under faults, one seed after the other,
// and reports each promise that was seen broken.
package main
