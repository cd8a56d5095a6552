package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/structs"
)

// stats holds the server's metrics. Labels are outcome kinds, never accounts, programs,
// keys or requests.
type stats struct {
	set       *metrics.Set
	requests  *metrics.Counter
	firstByte *metrics.Histogram
	latency   *metrics.Histogram
	slotWait  *metrics.Histogram
	pathsLost *metrics.Counter
	// connectionsNew and connectionsReused count the requests sent over each kind.
	connectionsNew, connectionsReused *metrics.Counter
	// notPermitted counts grants that were not used because the target's region is not
	// allowed or its failure domain is evacuated.
	notPermitted      *metrics.Counter
	evacuationChanges *metrics.Counter
	// coldGrantsRefused counts the grants of cold targets by placers that did not know that
	// they are cold.
	coldGrantsRefused *metrics.Counter
}

func newStats(s *Server) *stats {
	set := metrics.NewSet()
	set.NewGauge("endive_waiting_requests", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(len(s.waiters))
	})
	set.NewGauge("endive_largest_account_share", s.largestAccountShare)
	set.NewGauge("endive_target_connections_idle", func() float64 {
		idle, _ := s.pool.Stats()
		return float64(idle)
	})
	set.NewGauge("endive_target_connections_opened", func() float64 {
		_, dials := s.pool.Stats()
		return float64(dials)
	})
	set.NewGauge("endive_store_away_seconds", func() float64 { return s.opts.Store.UnreachableFor().Seconds() })
	if s.opts.Local != nil && s.opts.Local.Holds != nil {
		holds := s.opts.Local.Holds
		set.NewGauge("endive_unstored_grants", func() float64 {
			grants, _ := holds.Stats()
			return float64(grants)
		})
		set.NewGauge("endive_unstored_grant_age_seconds", func() float64 {
			_, age := holds.Stats()
			return age.Seconds()
		})
	}
	set.NewGauge("endive_config_version", func() float64 { return float64(s.opts.Config.Version()) })
	set.NewGauge("endive_config_known_version", func() float64 { return float64(max(s.opts.Config.Version(), s.opts.Config.Lag().Version)) })
	set.NewGauge("endive_config_lag_seconds", func() float64 { return s.opts.Config.Lag().For.Seconds() })
	set.NewGauge("endive_targets_naming_rate", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.targets.Rates.Count())
	})
	set.NewGauge("endive_targets_cold", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(len(s.targets.Rates.ColdTargets(structs.Now())))
	})
	set.NewGauge("endive_cold_rate_part", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.targets.Rates.ReachPart()
	})
	set.NewGauge("endive_target_answer_age_seconds", func() float64 { return s.answerAge(structs.Now()).Seconds() })
	set.NewGauge("endive_reaches_targets", func() float64 {
		if s.paths.isLost() {
			return 0
		}
		return 1
	})
	set.NewGauge("endive_targets_age_seconds", func() float64 { return s.targetsAge(structs.Now()).Seconds() })
	addConnectionGauges(set, s)
	registerEvacuationGauges(s, func(name string, value func() float64) { set.NewGauge(name, value) })
	return &stats{
		set:       set,
		requests:  set.NewCounter("endive_requests_total"),
		firstByte: set.NewHistogram("endive_first_byte_seconds"),
		latency:   set.NewHistogram("endive_request_seconds"),
		slotWait:  set.NewHistogram("endive_slot_wait_seconds"),
		pathsLost: set.NewCounter("endive_target_paths_lost_total"),

		connectionsNew:    set.NewCounter("endive_target_connections_new_total"),
		connectionsReused: set.NewCounter("endive_target_connections_reused_total"),
		notPermitted:      set.NewCounter("endive_grants_not_permitted_total"),
		evacuationChanges: set.NewCounter("endive_evacuation_changes_total"),
		coldGrantsRefused: set.NewCounter("endive_cold_grants_refused_total"),
	}
}

// countRejected counts a response that is not shown to be the target's answer.
func (st *stats) countRejected() {
	st.set.GetOrCreateCounter("endive_responses_rejected_total").Inc()
}

func (st *stats) countStarted() { st.requests.Inc() }

// WriteMetrics implements kernel.MetricWriter.
func (s *Server) WriteMetrics(w io.Writer) { s.stats.set.WritePrometheus(w) }

// DumpState implements kernel.Dumper.
func (s *Server) DumpState() any {
	records, bytes := s.opts.Local.Turns.CacheStats()
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make(map[structs.TargetID]string)
	for _, id := range s.targets.IDs() {
		target, _ := s.targets.Get(id)
		targets[id] = fmt.Sprintf("%s %s draining=%t", target.Service, target.Address, target.IsDraining)
	}
	return map[string]any{
		"config_version": s.opts.Config.Version(),
		"store_away":     s.opts.Store.UnreachableFor().String(),
		"targets":        targets,
		"evacuations":    s.dumpEvacuations(structs.Now()),
		"cold":           s.coldState(structs.Now()),
		"waiting":        len(s.waiters),
		"turns_cached":   records,
		"turn_bytes":     bytes,
		"budgets":        s.opts.Local.Ledger.CachedBalances(),
		"quarantine":     s.quarantine.Len(),
		"connections":    s.dumpConnections(),
	}
}

// recordOutcome counts and logs the end of a request. A nil refusal means that it
// was answered.
func (s *Server) recordOutcome(x *exchange, refusal *structs.Refusal) {
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.Kind)
	}
	took := structs.Now().Sub(x.Arrived)
	message := "request"
	if x.forwardedFor == "" {
		s.stats.countOutcome(x, outcome, took)
	} else {
		message = "forwarded request"
		s.stats.set.GetOrCreateCounter(`endive_forwarded_outcomes_total{outcome="` + outcome + `"}`).Inc()
	}
	level := slog.LevelInfo
	if refusal != nil {
		level = slog.LevelWarn
	}
	if !s.log.Enabled(context.Background(), level) || isRefusedForItself(x, refusal) && !s.mayLogRefusal() {
		return
	}
	s.log.LogAttrs(context.Background(), level, message, x.logAttrs(outcome, took, refusal)...)
}

func (st *stats) countOutcome(x *exchange, outcome string, took time.Duration) {
	st.set.GetOrCreateCounter(`endive_request_outcomes_total{outcome="` + outcome + `"}`).Inc()
	st.latency.Update(took.Seconds())
	st.slotWait.Update(x.slotWait.Seconds())
	if x.firstByte > 0 {
		st.firstByte.Update(x.firstByte.Seconds())
	}
}

// countAborted counts a response that was broken off after it had begun.
func (st *stats) countAborted(by string) {
	st.set.GetOrCreateCounter(`endive_responses_aborted_total{by="` + by + `"}`).Inc()
}

func (x *exchange) logAttrs(outcome string, took time.Duration, refusal *structs.Refusal) []slog.Attr {
	attrs := make([]slog.Attr, 0, 24)
	attrs = append(attrs,
		slog.String("request", string(x.ID)),
		slog.String("outcome", outcome),
		slog.Int64("took_ms", took.Milliseconds()),
	)
	if x.table != nil {
		attrs = append(attrs, slog.Uint64("config", x.table.Version))
		if lag := x.server.opts.Config.Lag(); lag.For > 0 {
			attrs = append(attrs, slog.Int64("config_lag_ms", lag.For.Milliseconds()))
		}
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name), slog.Int64("left_ms", x.timeLeft().Milliseconds()))
	}
	if x.account != nil {
		attrs = append(attrs, slog.String("account", string(x.account.ID)))
	}
	if x.Program != "" {
		attrs = append(attrs, slog.String("program", string(x.Program)))
	}
	if x.Turn.Previous != "" {
		attrs = append(attrs, slog.String("previous", string(x.Turn.Previous)))
	}
	if x.tokenWait > 0 {
		attrs = append(attrs, slog.Int64("token_wait_ms", x.tokenWait.Milliseconds()))
	}
	if x.sends > 0 {
		attrs = append(attrs,
			slog.String("target", string(x.target)),
			slog.Int("sends", x.sends),
			slog.Int64("targets_age_ms", x.targetsAge.Milliseconds()),
			slog.Int64("waited_ms", x.slotWait.Milliseconds()),
			slog.Int64("first_byte_ms", x.firstByte.Milliseconds()),
		)
	}
	if x.storeWait >= time.Millisecond {
		attrs = append(attrs, slog.Int64("store_ms", x.storeWait.Milliseconds()))
	}
	if x.connectTime > 0 {
		attrs = append(attrs, slog.Float64("connect_ms", float64(x.connectTime.Microseconds())/1000))
	}
	if x.turn != nil && x.turn.outageGrant != nil {
		attrs = append(attrs, slog.Bool("unstored_grant", x.turn.outageGrant.CopyAt != ""), slog.String("grant_copy_at", string(x.turn.outageGrant.CopyAt)))
	}
	if x.departedFor > 0 {
		attrs = append(attrs, slog.Int64("target_leaves_for_ms", x.departedFor.Milliseconds()))
	}
	if x.forwardedBy != "" {
		attrs = append(attrs, slog.String("forwarded_by", string(x.forwardedBy)))
	}
	if x.forwardedFor != "" {
		attrs = append(attrs, slog.String("forwarded_for", string(x.forwardedFor)))
	}
	if x.grantedBy != "" {
		attrs = append(attrs, slog.String("granted_by", string(x.grantedBy)))
	}
	if x.events > 0 {
		attrs = append(attrs, slog.Int("events", x.events), slog.Int64("tokens", x.tokens))
	}
	if refusal != nil {
		attrs = append(attrs,
			slog.String("run", string(refusal.Run)),
			slog.String("reason", refusal.Message),
			slog.Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()),
		)
	}
	return attrs
}
