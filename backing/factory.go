package backing

import "time"

// Factory returns the services of a platform driver for the platform at url. It opens
// no connection. Each request is limited to timeout.
type Factory func(url string, timeout time.Duration) (Services, error)
