// Package capacity measures what the daemons cost as programs, accounts,
// daemons, targets and changes of configuration grow. Its benchmarks give the
// slopes of docs/CAPACITY.md.
package capacity
