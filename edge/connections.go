package edge

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

// maxReportedConnections bounds the connected targets in a request to a placer: 11 bytes
// each. In the simulation, 6 of both services together are as good as all.
const maxReportedConnections = 6

// connections holds what this VM knows of its connections to targets. The server's lock
// guards it.
type connections struct {
	reuse placement.Reuse
	times placement.ConnectTimes
	// idle is the idle timeout that targets of each service stated last.
	idle map[structs.ServiceID]time.Duration
}

// describeConnections adds to a query what the choice of its target needs to know of this
// VM's connections, and counts the request.
func (s *Server) describeConnections(query *placement.Query) {
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	query.DomainDelay = s.connections.times.DomainDelay(s.opts.Domain, s.targets.DomainsInRegion())
	idle, isKnown := s.connections.idle[query.Service]
	if !isKnown {
		idle = hop.DefaultIdleTimeout
	}
	targets := s.targets.TargetsInReach(query.Service)
	isLarge := s.opts.Peers.PeerCount() >= maxUncoordinatedVMs
	change := s.connections.reuse.Update(now, query.Service, targets, idle, isLarge)
	if change.IsChanged {
		s.log.Info("reuse of connections changed", "service", string(query.Service), "connected_targets_preferred", change.IsSparse,
			"requests_per_idle_timeout", change.PerIdleTimeout, "requests_per_second", change.Rate, "targets", targets, "idle_timeout_ms", idle.Milliseconds())
	}
	if change.IsSparse {
		query.Group = s.opts.VM
		query.Connected = s.connectedTargets(query.Service)
	}
}

// connectedTargets returns the targets of a service to which this VM has an idle
// connection. The caller holds the lock.
func (s *Server) connectedTargets(service structs.ServiceID) map[structs.TargetID]bool {
	now := time.Now()
	return s.targets.Connected(service, func(address string) bool { return s.pool.HasIdle(now, address) })
}

// refreshConnections updates the connected targets of a query that has waited.
func (s *Server) refreshConnections(query *placement.Query) {
	if query.Group == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query.Connected = s.connectedTargets(query.Service)
}

// reportedConnections returns the connected targets of a query for a placer. If they are
// too many, it returns some at random, so that none is preferred by its ID.
func reportedConnections(query placement.Query) []structs.TargetID {
	var ids []structs.TargetID
	for id := range query.Connected {
		if len(ids) == maxReportedConnections {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

func connectedSet(ids []structs.TargetID) map[structs.TargetID]bool {
	if len(ids) == 0 {
		return nil
	}
	set := make(map[structs.TargetID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// recordConnection records that a request uses a connection.
func (s *Server) recordConnection(target placement.Target, conn *hop.Conn) {
	if conn.IsReused() {
		s.stats.connectionsReused.Inc()
		return
	}
	s.paths.connected()
	s.stats.connectionsNew.Inc()
	s.stats.connectTime(target.Domain).Update(conn.ConnectTime().Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections.times.Record(structs.Now(), target.Domain, conn.ConnectTime())
}

// keepConnection returns a connection to the pool after its response was read completely.
func (s *Server) keepConnection(target placement.Target, conn *hop.Conn) {
	idle := conn.IdleTimeout()
	s.pool.PutWithin(conn, s.maxIdleConnections(target.Service))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections.idle == nil {
		s.connections.idle = make(map[structs.ServiceID]time.Duration)
	}
	s.connections.idle[target.Service] = idle
}

// maxIdleConnections returns how many idle connections this VM keeps to a target of a
// service. Where VMs send few requests to each target, that is its part of the connections
// that the target takes from all VMs, and at least one. Only the VMs of the target's region
// count, since groups keep the others away.
func (s *Server) maxIdleConnections(service structs.ServiceID) int {
	table := s.opts.Config.Current()
	if table == nil || table.Services[service] == nil || table.Services[service].MaxConnections <= 0 {
		return hop.MaxPooled
	}
	s.mu.Lock()
	isSparse := s.connections.reuse.IsSparse(service)
	s.mu.Unlock()
	if !isSparse {
		return hop.MaxPooled
	}
	regions := max(s.opts.Regions, 1)
	vms := (s.opts.Peers.PeerCount() + regions) / regions // with this one, rounded up
	return max(table.Services[service].MaxConnections/max(vms, 1), 1)
}

// connectionOrder returns the order in which idle connections to a service's targets are
// used.
func (s *Server) connectionOrder(service structs.ServiceID) hop.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections.reuse.IsSparse(service) {
		return hop.SoonestFirst
	}
	return hop.LatestFirst
}

// dumpConnections returns the state of this VM's connections for the state dump. The caller
// holds the lock.
func (s *Server) dumpConnections() map[string]any {
	idle, dials := s.pool.Stats()
	preferred := make(map[structs.ServiceID]bool)
	timeouts := make(map[structs.ServiceID]string)
	for service, timeout := range s.connections.idle {
		preferred[service] = s.connections.reuse.IsSparse(service)
		timeouts[service] = timeout.String()
	}
	times := make(map[structs.DomainID]string)
	for domain, took := range s.connections.times.ByDomain() {
		times[domain] = took.String()
	}
	return map[string]any{
		"idle": idle, "opened": dials, "idle_by_address": s.pool.IdleByAddress(time.Now()), "idle_timeouts": timeouts,
		"connected_targets_preferred": preferred, "connect_times": times,
		"domain_delay": s.connections.times.DomainDelay(s.opts.Domain, s.targets.DomainsInRegion()).String(),
	}
}

func (st *stats) connectTime(domain structs.DomainID) *metrics.Histogram {
	return st.set.GetOrCreateHistogram(`endive_target_connect_seconds{domain="` + string(domain) + `"}`)
}

// addConnectionGauges adds the gauges of this VM's connections to targets.
func addConnectionGauges(set *metrics.Set, s *Server) {
	set.NewGauge("endive_services_preferring_connected_targets", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.connections.reuse.SparseCount())
	})
	set.NewGauge("endive_target_domain_delay_seconds", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.connections.times.DomainDelay(s.opts.Domain, s.targets.DomainsInRegion()).Seconds()
	})
}
