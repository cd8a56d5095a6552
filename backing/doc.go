// Package backing defines the interfaces to the services of the platform: a
// transactional table, an object store, a list of VMs and a weight store.
// Drivers register with the kernel under "platform.<name>".
package backing
