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

// NotReadyError reports that a daemon lacks something it needs to serve requests.
type NotReadyError struct{ Missing string }

// Error says what is missing.
func (e *NotReadyError) Error() string { return e.Missing + " is missing" }

// base holds the components that gatewayd and schedulerd have in common.
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
		return nil, errors.Wrap(err, "create the client of the platform's services")
	}
	platformMeter := meter.New()
	services = platformMeter.Wrap(services)
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
			Metrics:   []kernel.MetricWriter{platformMeter},
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

// incarnationBytes is the length of the random part of an incarnation, in bytes.
const incarnationBytes = 8

func newIncarnation(vm structs.VMID) structs.Incarnation {
	var random [incarnationBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return structs.Incarnation(string(vm) + "#" + hex.EncodeToString(random[:]))
}

// schedulerAddresses returns the wire addresses of the schedulers of a domain. They come
// from the VM list, or from the settings if no list has been read yet or the list has
// no scheduler of the domain.
func (b *base) schedulerAddresses(domain structs.DomainID) []string {
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

// ownSchedulerAddresses returns the schedulers of this VM's domain.
func (b *base) ownSchedulerAddresses() []string { return b.schedulerAddresses(b.settings.Domain) }

// rotateByVM rotates the addresses by a hash of the VM's ID, so that the VMs of a failure
// domain don't all try the same one first.
func (b *base) rotateByVM(addrs []string) []string {
	if len(addrs) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(string(b.settings.VM)) % uint64(len(addrs)))
	return slices.Concat(addrs[first:], addrs[:first])
}

// otherSchedulerAddresses returns the schedulers of all other domains.
func (b *base) otherSchedulerAddresses() []string {
	var addrs []string
	for _, domain := range b.domains() {
		if domain != b.settings.Domain {
			addrs = append(addrs, b.schedulerAddresses(domain)...)
		}
	}
	return addrs
}

// domains returns the failure domains of the settings, sorted.
func (b *base) domains() []structs.DomainID {
	domains := make([]structs.DomainID, 0, len(b.settings.Schedulers))
	for domain := range b.settings.Schedulers {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

// quotaTerms returns the loan terms with the clock drift of the settings.
func (b *base) quotaTerms() quota.LoanTerms {
	terms := quota.DefaultLoanTerms
	terms.MaxClockDrift = b.settings.Lease.ClockDrift
	return terms
}

// accountLimits returns the accounts' limits, which follow the configuration in force.
func (b *base) accountLimits() quota.Snapshot { return configLimits{holder: b.holder} }

// configLimits is a quota.Snapshot that reads the configuration in force at each call.
type configLimits struct{ holder *config.Holder }

// Account returns an account of the version in force, and false if it has none by that
// ID or no version is in force yet.
func (l configLimits) Account(id structs.AccountID) (config.Account, bool) {
	if current := l.holder.Current(); current != nil {
		return current.Account(id)
	}
	return config.Account{}, false
}

// Version returns the number of the version in force, 0 if there is none yet.
func (l configLimits) Version() uint64 {
	if current := l.holder.Current(); current != nil {
		return current.Version()
	}
	return 0
}
