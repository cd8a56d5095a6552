package daemon

import (
	"log/slog"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/keeper"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// newKeeper creates the component that owns slots and keeps their journals.
func (b *base) newKeeper(log *slog.Logger) (*keeper.Keeper, error) {
	loaded := b.settings
	return keeper.New(keeper.Options{
		Domain: loaded.Domain,
		Self: lease.Member{
			Incarnation: b.incarnation,
			VM:          loaded.VM,
			Addr:        loaded.Listen.AdvertisedAddr(),
		},
		Lease:          loaded.Lease,
		MaxTail:        loaded.Limits.MaxTail,
		Daemons:        b.schedulerCount(),
		Table:          b.services.Table,
		Objects:        b.services.Objects,
		Peers:          b.peers,
		IsVMGone:       func(id structs.VMID) bool { return b.members.View().IsGone(id) },
		Sender:         b.client,
		DefersHandover: true,
		Log:            log,
	})
}

// peers returns the schedulers of this VM's domain according to the VM list.
func (b *base) peers() []keeper.Peer {
	var peers []keeper.Peer
	for _, vm := range b.members.View().Peers(b.settings.Domain) {
		peers = append(peers, keeper.Peer{VM: vm.ID, Addr: vm.Scheduler, IsLeaving: vm.State == backing.VMLeaving})
	}
	return peers
}

// schedulerCount returns the number of schedulers in the settings. They share the write
// rate of the store.
func (b *base) schedulerCount() int {
	count := 0
	for _, addrs := range b.settings.Schedulers {
		count += len(addrs)
	}
	return count
}
