// Package member implements the SWIM group membership protocol (Das, Gupta,
// Motivala, 2002) as a state machine without I/O. It probes one peer per
// period, marks a member as suspect before removing it, and piggybacks
// membership updates on the probes, so that the traffic per node does not grow
// with the size of the fleet. docs/DESIGN.md lists the measured traffic.
package member
