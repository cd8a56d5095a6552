// Package target defines the driver interface for back ends: model engines and plain
// HTTP services. A driver registers with the kernel as "target.<protocol>".
package target
