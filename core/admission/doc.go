// Package admission decides which requests may run and when. It keeps retries within a budget
// and teams within the limits of their contracts, and it orders waiting requests fairly. The
// package does no I/O and reads no clock: events carry their time, and decisions are values.
package admission
