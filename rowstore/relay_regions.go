package rowstore

import "context"

// relayRegionsKey is the key of the regions in a context.
type relayRegionsKey struct{}

// WithRelayRegions returns a context whose calls may be relayed only through VMs of this
// VM's region and of the given regions, since they carry the contents of a request. The nil
// list allows all.
func WithRelayRegions(ctx context.Context, regions []string) context.Context {
	if regions == nil {
		return ctx
	}
	return context.WithValue(ctx, relayRegionsKey{}, regions)
}

// RelayRegions returns the regions that WithRelayRegions has set, nil for all.
func RelayRegions(ctx context.Context) []string {
	regions, _ := ctx.Value(relayRegionsKey{}).([]string)
	return regions
}
