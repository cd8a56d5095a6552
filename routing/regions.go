package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AllowedRegions returns the regions whose targets may serve a request of a route and an
// account: those that both allow. It returns nil if all regions are allowed, and an empty
// list if none is. The account is nil for a request without a key.
func AllowedRegions(route *Route, account *Account) []string {
	switch {
	case account == nil || len(account.AllowedRegions) == 0:
		if len(route.AllowedRegions) == 0 {
			return nil
		}
		return route.AllowedRegions
	case len(route.AllowedRegions) == 0:
		return account.AllowedRegions
	}
	return IntersectRegions(route.AllowedRegions, account.AllowedRegions)
}

// IntersectRegions returns the regions that two lists have in common; nil lists all regions.
// The result is nil only if both lists are.
func IntersectRegions(a, b []string) []string {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	common := make([]string, 0, min(len(a), len(b)))
	for _, region := range a {
		if slices.Contains(b, region) && !slices.Contains(common, region) {
			common = append(common, region)
		}
	}
	return common
}

// UnknownRegion is an allowed region that no failure domain is in.
type UnknownRegion struct {
	Region string
	// User names the route or account that allows it.
	User string
}

// UnknownRegions returns the allowed regions that isKnown does not report. They never match.
func (t *Table) UnknownRegions(isKnown func(region string) bool) []UnknownRegion {
	var unknown []UnknownRegion
	add := func(user string, regions []string) {
		for _, region := range regions {
			if !isKnown(region) {
				unknown = append(unknown, UnknownRegion{Region: region, User: user})
			}
		}
	}
	for _, host := range t.hosts {
		for _, route := range host.byPrefix {
			add("route "+route.Name, route.AllowedRegions)
		}
	}
	for _, account := range t.Accounts {
		add("account "+string(account.ID), account.AllowedRegions)
	}
	return unknown
}

// hashRegionLimits returns a hash of all allowed regions, 0 if there are none. It tells
// whether a change of the configuration may concern requests that are in progress.
func hashRegionLimits(c TableContents) uint64 {
	hasher := xxhash.New()
	hasLimits := false
	write := func(user string, regions []string) {
		if len(regions) == 0 {
			return
		}
		hasLimits = true
		for _, text := range append([]string{user}, regions...) {
			hasher.WriteString(text)
			hasher.Write([]byte{0})
		}
		hasher.Write([]byte{1})
	}
	for _, route := range c.Routes {
		write("route "+route.Host+route.Prefix, route.AllowedRegions)
	}
	for _, account := range c.Accounts {
		write("account "+string(account.ID), account.AllowedRegions)
	}
	if !hasLimits {
		return 0
	}
	return max(hasher.Sum64(), 1)
}
