// Package backing is an in-memory stand-in for the platform with fault injection. It can be
// called in process and over HTTP.
package backing

import (
	"sort"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/structs"
)

// Options configures a Server.
type Options struct {
	VMs []backing.VM
	// VMLag is the delay before a change of the VMs appears in the VM list.
	VMLag time.Duration
	// WeightInterval is the minimum time between two fetches of weights; 0 is no limit.
	WeightInterval time.Duration
}

// Server holds the state of all services of the platform. Its methods are safe for
// concurrent use. It starts no goroutines.
type Server struct {
	mu             sync.Mutex
	faults         map[Service]*faults
	rows           map[string]backing.Row
	lastVersion    uint64
	objects        map[string][]byte
	vms            map[structs.VMID]backing.VM
	vmSnapshots    []vmSnapshot
	vmLag          time.Duration
	weightInterval time.Duration
	lastFetch      time.Time
}

type vmSnapshot struct {
	at  time.Time
	vms []backing.VM
}

// New creates a Server.
func New(opts Options) *Server {
	s := &Server{
		faults:         make(map[Service]*faults),
		rows:           make(map[string]backing.Row),
		objects:        make(map[string][]byte),
		vms:            make(map[structs.VMID]backing.VM),
		vmLag:          opts.VMLag,
		weightInterval: opts.WeightInterval,
	}
	for _, vm := range opts.VMs {
		s.vms[vm.ID] = vm
	}
	s.vmSnapshots = []vmSnapshot{{vms: s.listVMs()}}
	return s
}

// SetVM adds a VM to the list or replaces its entry.
func (s *Server) SetVM(vm backing.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[vm.ID] = vm
	s.snapshotVMs()
}

// SetVMState changes the state of a listed VM. It ignores a VM that is not listed.
func (s *Server) SetVMState(id structs.VMID, state backing.VMState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.vms[id]
	if !ok {
		return
	}
	vm.State = state
	s.vms[id] = vm
	s.snapshotVMs()
}

// RemoveVM removes a VM from the list.
func (s *Server) RemoveVM(id structs.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, id)
	s.snapshotVMs()
}

// SetVMLag sets the delay before a change of the VMs appears in the VM list.
func (s *Server) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLag = lag
}

func (s *Server) listVMs() []backing.VM {
	list := make([]backing.VM, 0, len(s.vms))
	for _, vm := range s.vms {
		list = append(list, vm)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

const maxVMSnapshots = 4096

func (s *Server) snapshotVMs() {
	if len(s.vmSnapshots) >= maxVMSnapshots {
		s.vmSnapshots = append([]vmSnapshot(nil), s.vmSnapshots[maxVMSnapshots/2:]...)
	}
	s.vmSnapshots = append(s.vmSnapshots, vmSnapshot{at: time.Now(), vms: s.listVMs()})
}

// laggedVMs returns the VM list as of vmLag ago. The caller holds s.mu.
func (s *Server) laggedVMs() []backing.VM {
	cutoff := time.Now().Add(-s.vmLag)
	latest := s.vmSnapshots[0].vms
	for _, list := range s.vmSnapshots[1:] {
		if list.at.After(cutoff) {
			break
		}
		latest = list.vms
	}
	return append([]backing.VM(nil), latest...)
}
