package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// A route and an account may limit the regions whose targets serve their requests. The body
// of such a request reaches only VMs of these regions and of this VM's own region.

const (
	// regionRetryAfter is the retry delay of a request whose route and account leave no
	// region with a target: only a new configuration helps, which takes seconds.
	regionRetryAfter = 5 * time.Second
	// evacuatedRetryAfter is the retry delay while all targets that a request may use are
	// evacuated: an operator ends that, and all VMs know it a second later.
	evacuatedRetryAfter = 2 * time.Second
)

// NotPermittedError reports that a target was evacuated, or its region disallowed, after it
// was picked for a request and before the request was sent.
type NotPermittedError struct {
	Target structs.TargetID
	Domain structs.DomainID
	Region string
}

// Error names the target, its failure domain and its region.
func (e *NotPermittedError) Error() string {
	return "target " + string(e.Target) + " of failure domain " + string(e.Domain) + " in region " + e.Region + " may no longer be used"
}

// RegionsChangedError reports that the allowed regions have changed while a request waited.
type RegionsChangedError struct{ Service structs.ServiceID }

// Error names the service.
func (e *RegionsChangedError) Error() string {
	return "allowed regions have changed while a request waited for service " + string(e.Service)
}

// allowedRegions returns the regions whose targets may serve the request, by the
// configuration that is in force now; nil allows all.
func (x *exchange) allowedRegions() []string {
	if x.forwardedFor != "" {
		return x.forwardRegions
	}
	route, account := x.route, x.account
	if table := x.server.opts.Config.Current(); table.RegionLimits != x.table.RegionLimits {
		if current := table.Match(x.Host, x.Path); current != nil {
			route = current
		}
		if current := table.Account(x.Key); current != nil {
			account = current
		}
	}
	return routing.AllowedRegions(route, account)
}

// query returns the query for the request's next target.
func (x *exchange) query(tried []structs.TargetID) placement.Query {
	return placement.Query{
		Service: x.service.ID, CacheTarget: x.cachedTarget(), Exclude: tried,
		Regions: x.allowedRegions(), Evacuated: x.forwardEvacuated,
	}
}

// refuseRestricted refuses a request at once if its allowed regions and the evacuations leave
// no target.
func (x *exchange) refuseRestricted() *structs.Refusal {
	switch x.restriction() {
	case placement.OutsideRegions:
		reason := fmt.Sprintf("route and account allow no region with a target of service %s, allowed are %q", x.service.ID, x.allowedRegions())
		return retryableRefusal(structs.RefusedNoTarget, regionRetryAfter, reason)
	case placement.AllEvacuated:
		reason := fmt.Sprintf("all targets of service %s in the allowed regions are evacuated, domains %q", x.service.ID, x.server.Evacuated())
		return retryableRefusal(structs.RefusedNoTarget, evacuatedRetryAfter, reason)
	}
	return nil
}

// restriction returns why the request may use no target.
func (x *exchange) restriction() placement.Restriction {
	regions := x.allowedRegions()
	if regions != nil && len(regions) == 0 {
		return placement.OutsideRegions
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Restriction(placement.Query{Service: x.service.ID, Regions: regions, Evacuated: x.forwardEvacuated})
}

// noTargetRetryAfter returns the retry delay of a request for which there is no target.
func (x *exchange) noTargetRetryAfter() time.Duration {
	if refusal := x.refuseRestricted(); refusal != nil {
		return refusal.RetryAfter
	}
	return noTargetRetryAfter
}

// acquirePermitted returns a slot of a target that the request may use. A request whose
// allowed regions change while it waits asks again.
func (x *exchange) acquirePermitted(ctx context.Context, query placement.Query, request admission.Request, maxWait time.Duration) (*grant, error) {
	start := structs.Now()
	for {
		if query.Regions != nil && len(query.Regions) == 0 {
			return nil, &NoTargetError{Service: query.Service}
		}
		left := maxWait - structs.Now().Sub(start)
		g, err := x.server.acquireGrant(ctx, query, request, left, x.timeLeft())
		var changed *RegionsChangedError
		if !errors.As(err, &changed) {
			return g, err
		}
		query.Regions = x.allowedRegions()
	}
}

// checkPermitted returns *NotPermittedError if the request may not be sent to a target, by
// what is known now. It is the last check before a request is sent.
func (x *exchange) checkPermitted(target placement.Target) error {
	query := placement.Query{Regions: x.allowedRegions(), Evacuated: x.forwardEvacuated}
	if x.server.isPermitted(target, query) {
		return nil
	}
	x.server.stats.notPermitted.Inc()
	x.server.log.Info("request not sent, target may no longer be used", "request", string(x.ID), "target", string(target.ID),
		"domain", string(target.Domain), "region", target.Region, "allowed_regions", query.Regions)
	return &NotPermittedError{Target: target.ID, Domain: target.Domain, Region: target.Region}
}

func (s *Server) isPermitted(target placement.Target, query placement.Query) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.IsPermitted(target, query)
}

// excludeForbidden adds the targets that a query may not use to those that it excludes, for a
// placer that has granted one of them: it is behind, or of a build that ignores restrictions.
func (s *Server) excludeForbidden(query *placement.Query, placer structs.VMID, granted structs.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forbidden := s.targets.Forbidden(*query)
	s.stats.notPermitted.Inc()
	s.log.Info("grant given back, target may not be used", "target", string(granted), "placer", string(placer), "forbidden", len(forbidden))
	query.Exclude = append(slices.Clone(query.Exclude), forbidden...)
}

// pickRelay returns the VM that forwards the request: one that may hold its body and, if
// there are restrictions, applies them.
func (x *exchange) pickRelay(asked []structs.VMID) (structs.VMID, bool) {
	s := x.server
	regions := x.allowedRegions()
	isRestricted := regions != nil || len(s.Evacuated()) > 0
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	return s.paths.relays.PickWhere(structs.Now(), func(vm structs.VMID) bool {
		if slices.Contains(asked, vm) {
			return false
		}
		if !isRestricted {
			return true
		}
		region, honorsRegions := s.opts.Peers.RegionSupport(vm)
		return honorsRegions && s.mayHoldBody(region, regions)
	})
}

// mayHoldBody reports whether VMs of a region may hold the body of a request with the given
// allowed regions.
func (s *Server) mayHoldBody(region string, allowed []string) bool {
	return allowed == nil || region == s.opts.Region || slices.Contains(allowed, region)
}

// limitRelays returns a context whose calls to the store take no path through VMs that may
// not hold the request's body.
func (x *exchange) limitRelays(ctx context.Context) context.Context {
	return rowstore.WithRelayRegions(ctx, x.allowedRegions())
}

// storeAwayFor returns the time for which no path to the store has been usable that may carry
// the rows of the request's turn, 0 if there is one.
func (x *exchange) storeAwayFor() time.Duration {
	if !x.route.StoresTurns {
		return x.server.opts.Store.UnreachableFor()
	}
	return x.server.opts.Store.UnreachableWithin(x.allowedRegions())
}

// regionLimits returns a hash of the allowed regions in the configuration.
func (s *Server) regionLimits() uint64 {
	if s.opts.Config == nil {
		return 0
	}
	if table := s.opts.Config.Current(); table != nil {
		return table.RegionLimits
	}
	return 0
}

// applyRegionLimits makes the waiting requests ask again if the allowed regions have changed,
// and logs allowed regions that don't exist. The caller holds the lock.
func (s *Server) applyRegionLimits() {
	limits := s.regionLimits()
	if limits == s.appliedLimits {
		return
	}
	s.appliedLimits = limits
	for _, w := range s.waiters {
		w.refuse(&RegionsChangedError{Service: w.query.Service})
	}
	for _, unknown := range s.opts.Config.Current().UnknownRegions(s.isKnownRegion) {
		s.log.Warn("unknown region is allowed and never matches", "region", unknown.Region, "allowed_by", unknown.User)
	}
}

func (s *Server) isKnownRegion(region string) bool {
	for _, known := range s.opts.Domains {
		if known == region {
			return true
		}
	}
	return false
}

// refuseUnplaceable refuses the waiting requests that no target may serve. The caller holds
// the lock.
func (s *Server) refuseUnplaceable(now structs.Instant) {
	for _, w := range s.waiters {
		if _, ok := s.targets.Choose(now, w.query); !ok {
			w.refuse(&NoTargetError{Service: w.query.Service})
		}
	}
}

// refuse makes a waiting request leave the queue with an error.
func (w *waiter) refuse(err error) {
	select {
	case w.refused <- err:
	default: // it leaves already
	}
}

// noteRestricted records that a request with restrictions waits for at most maxWait. The
// caller holds the lock.
func (s *Server) noteRestricted(now structs.Instant, query placement.Query, maxWait time.Duration) {
	hasRegions := query.Regions != nil || len(query.Evacuated) > 0
	if hasRegions {
		s.regionsUntil = max(s.regionsUntil, now.Add(maxWait))
	}
	if hasRegions || len(query.Exclude) > 0 || query.RateFraction > 0 {
		s.restrictedUntil = max(s.restrictedUntil, now.Add(maxWait))
	}
}

// blockedQueries are the restrictions for which no slot is free. A request in front of the
// queue whose allowed regions are full must not keep others from slots that it may not use.
type blockedQueries []placement.Query

// add records that no slot is free for requests with a query's restrictions.
func (b *blockedQueries) add(q placement.Query) { *b = append(*b, q) }

func (b blockedQueries) contains(q placement.Query) bool {
	return slices.ContainsFunc(b, func(other placement.Query) bool {
		hasSameRegions := (q.Regions == nil) == (other.Regions == nil) && slices.Equal(q.Regions, other.Regions)
		return hasSameRegions && slices.Equal(q.Evacuated, other.Evacuated) &&
			slices.Equal(q.Exclude, other.Exclude) && q.RateFraction == other.RateFraction
	})
}

// nextWaiting returns the first waiting request that is not blocked, nil if there is none.
// The caller holds the lock.
func (s *Server) nextWaiting(now structs.Instant, queue *admission.Queue, blocked blockedQueries) *admission.Request {
	switch {
	case len(blocked) == 0:
		return queue.First(now)
	case now > s.restrictedUntil:
		return nil // all requests may use the same targets
	}
	return queue.FirstWhere(now, func(r *admission.Request) bool { return !blocked.contains(s.waiters[r].query) })
}
