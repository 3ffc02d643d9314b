//go:build !race

package main

// waitScale multiplies the waits for other instances.
const waitScale = 1
