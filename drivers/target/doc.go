// Package target defines how the system speaks to back ends: model engines
// and plain services. Drivers register with the kernel under
// "target.<protocol>".
package target
