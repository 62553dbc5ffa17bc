// Package admission decides which requests may run and when: retries within a budget,
// teams within the limits of their contracts, and waiting requests in a fair order.
// It is pure: it takes events with their time and returns decisions as values.
package admission
