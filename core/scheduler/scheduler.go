// Package scheduler joins estimation, routing, admission, retries and health into the decisions of one instance.
// It does no I/O and reads no clock: events enter through Handle, which returns the actions to carry out.
package scheduler
