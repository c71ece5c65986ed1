// Package origin decides at which build of a service a stream goes on that a caller takes up
// at another gate. What two builds write does not fit together, and the gate that began the
// stream may be gone.
//
// A gate knows the build from one of two sources. History tells whether the service has had
// one build only since the stream can have begun; no record is needed then. Records hold who
// began which stream: a gate keeps those of its own streams and, while a service may have
// several builds, sends each to a few gates that Rank chooses by the request's ID. Another
// gate finds them there by the ID alone.
//
// Package origin is a decision package: it receives the time as an argument and does no I/O.
package origin
