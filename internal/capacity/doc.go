// Package capacity benchmarks how the CPU time, memory and traffic of the daemons grow
// with the number of programs, client accounts, daemons, targets and configuration
// changes. Its results are the growth rates in docs/CAPACITY.md.
package capacity
