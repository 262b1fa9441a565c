// Package e2e contains end-to-end tests. They run hosts, backend servers and the
// platform as separate processes on the loopback interface and inject faults.
package e2e
