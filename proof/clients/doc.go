// Package clients contains the tests of clients that keep to no limit. Each test starts one
// program with little memory and few descriptors, sends it one form of bytes on many connections,
// and verifies that the process lives, that its memory and descriptors stay under their bounds,
// and that it answers an ordinary request afterwards.
//
// # Usage
//
//	go test -p 1 verbenashift/proof/clients
package clients
