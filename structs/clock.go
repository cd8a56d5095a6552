package structs

import "time"

var origin = time.Now()

// Now reads this process's monotonic clock. Decision packages never call it:
// their callers pass the instant in.
func Now() Instant { return Instant(time.Since(origin)) }
