// Package crash decides what the end of a replica's process proves about the requests that
// were on it. Some content crashes each replica that begins to answer a request with it; sent
// on and on, it takes all replicas of a service down. The package knows content by the parts of
// prompts, which otherwise unlike requests share.
//
// Package crash is a decision package: it receives the time as an argument and does no I/O.
package crash
