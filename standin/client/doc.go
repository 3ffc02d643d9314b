// Package client is a load-generating client that replays a workload, called a
// closing on the command line, and judges the result.
//
// It sends the requests of the workload to the entries as callers' programs
// would: it continues at another entry if one refuses with not-run, hands a
// stream over or dies, and it never repeats a request that may not be repeated
// unless an idempotency key makes that safe. It keeps its own record, reads the
// ledgers of all target stand-ins and has package judge compare the two.
//
// # Usage
//
//	standin client -entries 127.0.0.1:8080,127.0.0.2:8080 -tokens bole=secret \
//		-ledgers 127.0.1.1:9100,127.0.1.2:9100 -input closing.jsonl
//
// The last line of its output is a JSON object with the counts; the exit
// status is 1 if a promise was broken or the evidence could not be read.
package client
