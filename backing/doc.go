// Package backing defines what the system asks of the platform: a
// transactional table, an object store, a list of VMs and a weight store.
// Drivers register with the kernel under "platform.<name>".
package backing
