package kernel

import "fmt"

// InvalidModuleIDError says that a module ID has no namespace.
type InvalidModuleIDError struct{ ID ModuleID }

// Error names the ID.
func (e *InvalidModuleIDError) Error() string {
	return fmt.Sprintf("module ID %q has no namespace", e.ID)
}

// DuplicateModuleError says that a module ID is registered twice.
type DuplicateModuleError struct{ ID ModuleID }

// Error names the ID.
func (e *DuplicateModuleError) Error() string {
	return fmt.Sprintf("module %q is registered already", e.ID)
}

// UnknownModuleError says that no module has the ID.
type UnknownModuleError struct {
	ID    ModuleID
	Known []ModuleID
}

// Error names the ID and the modules of its namespace.
func (e *UnknownModuleError) Error() string {
	return fmt.Sprintf("module %q does not exist; known: %v", e.ID, e.Known)
}

// ModuleTypeError says that a module is of another type than its namespace
// asks for.
type ModuleTypeError struct {
	ID         ModuleID
	Want, Have string
}

// Error names the ID and both types.
func (e *ModuleTypeError) Error() string {
	return fmt.Sprintf("module %q is a %s, not a %s", e.ID, e.Have, e.Want)
}

// WorkerError says that a duty returned an error or panicked, which ends its
// daemon.
type WorkerError struct {
	Worker string
	Cause  error
	Stack  string // of a panic
}

// Error names the duty and the cause.
func (e *WorkerError) Error() string { return fmt.Sprintf("duty %q: %v", e.Worker, e.Cause) }

// Unwrap returns the cause.
func (e *WorkerError) Unwrap() error { return e.Cause }

// PanicError carries the value of a panic.
type PanicError struct{ Value any }

// Error prints the value.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }
