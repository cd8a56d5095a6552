package structs

import "time"

var clockOrigin = time.Now()

// Now reads this process's monotonic clock. Deterministic state machines never
// call it: their callers pass the current instant as an argument.
func Now() Instant { return Instant(time.Since(clockOrigin)) }
