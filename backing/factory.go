package backing

import "time"

// Factory makes the services of a platform driver. It does not connect.
// Timeout bounds each request.
type Factory func(url string, timeout time.Duration) (Services, error)
