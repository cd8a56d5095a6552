package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/http/pprof"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/admin"
	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/backing/meter"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/membership"
	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// NotReadyError says that a daemon lacks something to serve with.
type NotReadyError struct{ Missing string }

// Error names what is missing.
func (e *NotReadyError) Error() string { return e.Missing + " is missing" }

// base is what both daemons are built on.
type base struct {
	settings    settings.Daemon
	incarnation structs.Incarnation
	services    backing.Services
	wireOptions wire.Options
	client      *wire.Client
	members     *membership.Watcher
	holder      *config.Holder
	admin       *admin.Server
}

func newBase(loaded settings.Daemon) (*base, error) {
	factory, err := kernel.Lookup[backing.Factory](kernel.ModuleID("platform." + loaded.Platform.Driver))
	if err != nil {
		return nil, err
	}
	services, err := factory(loaded.Platform.URL, loaded.Platform.Timeout.Std())
	if err != nil {
		return nil, errors.Wrap(err, "make platform client")
	}
	counted := meter.New()
	services = counted.Wrap(services)
	tlsConfig, err := loaded.WireTLS.Load()
	if err != nil {
		return nil, err
	}
	b := &base{
		settings:    loaded,
		incarnation: newIncarnation(loaded.VM),
		services:    services,
		wireOptions: wire.Options{TLS: tlsConfig},
		members:     membership.New(membership.Options{VMs: services.VMs}),
		holder:      &config.Holder{},
		admin: admin.New(admin.Options{
			Address:   loaded.Listen.Admin,
			TokenHash: loaded.OperatorTokenHash,
			Metrics:   []kernel.MetricWriter{counted},
		}),
	}
	b.client = wire.NewClient(b.wireOptions)
	b.admin.Handle("/debug/pprof/", http.HandlerFunc(pprof.Index))
	b.admin.Handle("/debug/pprof/profile", http.HandlerFunc(pprof.Profile))
	b.admin.AddReadinessCheck("config", func() error {
		if b.holder.Current() == nil {
			return &NotReadyError{Missing: "the configuration"}
		}
		return nil
	})
	return b, nil
}

// incarnationBytes is the length of an incarnation's random part.
const incarnationBytes = 8

func newIncarnation(vm structs.VMID) structs.Incarnation {
	var random [incarnationBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return structs.Incarnation(string(vm) + "#" + hex.EncodeToString(random[:]))
}

// schedulers returns the wire addresses of the schedulers of a domain: those
// of the VM list once it is known, else those of the settings.
func (b *base) schedulers(domain structs.DomainID) []string {
	view := b.members.View()
	if !view.HasList() {
		return b.settings.Schedulers[domain]
	}
	var addrs []string
	for _, vm := range view.Peers(domain) {
		addrs = append(addrs, vm.Scheduler)
	}
	if len(addrs) == 0 {
		return b.settings.Schedulers[domain]
	}
	return addrs
}

// ownSchedulers returns the schedulers of the own domain.
func (b *base) ownSchedulers() []string { return b.schedulers(b.settings.Domain) }

// spread rotates addresses by the VM's ID, so that the VMs of a failure domain
// do not all prefer the same one.
func (b *base) spread(addrs []string) []string {
	if len(addrs) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(b.settings.VM)) % uint64(len(addrs)))
	return slices.Concat(addrs[first:], addrs[:first])
}

// otherSchedulers returns the schedulers of all other domains.
func (b *base) otherSchedulers() []string {
	var addrs []string
	for _, domain := range b.domains() {
		if domain != b.settings.Domain {
			addrs = append(addrs, b.schedulers(domain)...)
		}
	}
	return addrs
}

// domains returns the failure domains of the settings in a fixed order.
func (b *base) domains() []structs.DomainID {
	domains := make([]structs.DomainID, 0, len(b.settings.Schedulers))
	for domain := range b.settings.Schedulers {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

// quotaTerms returns the terms of quota loans under the settings' clock bound.
func (b *base) quotaTerms() quota.LoanTerms {
	terms := quota.DefaultLoanTerms
	terms.MaxClockDrift = b.settings.Lease.ClockDrift
	return terms
}

// limits reads the accounts' limits of the configuration in force.
func (b *base) limits() quota.Snapshot { return heldLimits{holder: b.holder} }

// heldLimits is a quota.Snapshot that follows the configuration.
type heldLimits struct{ holder *config.Holder }

// Account returns an account of the version in force.
func (l heldLimits) Account(id structs.AccountID) (config.Account, bool) {
	if current := l.holder.Current(); current != nil {
		return current.Account(id)
	}
	return config.Account{}, false
}

// Version returns the version in force, or 0 before the first.
func (l heldLimits) Version() uint64 {
	if current := l.holder.Current(); current != nil {
		return current.Version()
	}
	return 0
}
