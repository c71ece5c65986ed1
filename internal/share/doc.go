// Package share divides scarce capacity among teams by weight: it decides which team's
// request starts next (start-time fair queueing), and counts what the teams use at all
// gates, so that a team is charged at each gate for what the other gates have started.
//
// Package share is a decision package: it receives time as an argument and does no I/O.
package share
