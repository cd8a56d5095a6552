package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// BorrowTokens asks a VM for quota tokens of an account.
func (m *Mesh) BorrowTokens(ctx context.Context, vm structs.VMID, account structs.AccountID) (int, error) {
	var reply LoanReply
	err := m.callVM(ctx, vm, MethodLend, LoanRequest{Account: account}, &reply)
	return reply.Tokens, err
}

// RequestAdmission asks an account's quota holder to admit a request.
func (m *Mesh) RequestAdmission(ctx context.Context, vm structs.VMID, req AdmissionRequest) (AdmissionReply, error) {
	var reply AdmissionReply
	err := m.CallHome(ctx, vm, MethodAdmit, req, &reply)
	return reply, err
}

// RequestPlacement asks a service's placer for a target.
func (m *Mesh) RequestPlacement(ctx context.Context, vm structs.VMID, p PlacementRequest) (PlacementReply, error) {
	var reply PlacementReply
	err := m.CallHome(ctx, vm, MethodPlace, p, &reply)
	return reply, err
}

// Release ends a grant of a placer.
func (m *Mesh) Release(ctx context.Context, vm structs.VMID, r Release) error {
	return m.callVM(ctx, vm, MethodRelease, r, &struct{}{})
}

// call closes the connection if nothing arrives on it until the deadline, since a lost
// connection may stay open without delivering anything. A VM that is only slow to answer
// keeps it, with the other calls on it. It is for methods that every VM answers at once.
func (m *Mesh) call(ctx context.Context, address, method string, in, out any) error {
	start := time.Now()
	err := m.client.Call(ctx, address, method, in, out)
	if errors.Is(err, context.DeadlineExceeded) {
		m.client.CloseSilentConn(address, start)
	}
	return err
}

func (m *Mesh) callVM(ctx context.Context, vm structs.VMID, method string, in, out any) error {
	address := m.addressOf(vm)
	if address == "" {
		return &wire.NotSentError{Addr: string(vm), Cause: &UnknownVMError{VM: vm}}
	}
	return m.client.Call(ctx, address, method, in, out)
}

// addressOf returns a member's address, empty if the VM is not a member.
func (m *Mesh) addressOf(vm structs.VMID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[vm]; peer != nil {
		return peer.Address
	}
	return ""
}

// UnknownVMError reports that a VM is not a member.
type UnknownVMError struct{ VM structs.VMID }

// Error names the VM.
func (e *UnknownVMError) Error() string { return "VM " + string(e.VM) + " is not a member" }
