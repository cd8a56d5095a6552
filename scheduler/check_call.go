package scheduler

import (
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// checkKind checks that an account may run programs of a kind and returns its
// configuration.
func (s *Scheduler) checkKind(account structs.AccountID, kind string) (config.Program, *structs.Refusal) {
	snapshot := s.snapshot()
	if snapshot == nil {
		return config.Program{}, notReady("no configuration is in force yet")
	}
	p, exists := snapshot.Program(kind)
	if !exists {
		return p, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "program %q does not exist", kind)
	}
	if _, known := snapshot.Account(account); !known || !snapshot.MayRun(account, kind) {
		return p, structs.Refuse(structs.RefusedForbidden, structs.RunNo, "account %q may not run program %q", account, kind)
	}
	return p, nil
}

// checkCall checks what does not depend on the state of the call's program, and returns
// the event for the core.
func (s *Scheduler) checkCall(call *structs.Call) (program.CallArrived, *structs.Refusal) {
	none := program.CallArrived{}
	if (call.Model == nil) == (call.Plain == nil) {
		return none, structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "a call is either for a model or for a plain service")
	}
	if call.Account == "" && (!call.EndAfter || call.Kind != "") {
		return none, structs.Refuse(structs.RefusedUnauthorized, structs.RunNo, "a program is used with its account")
	}
	snapshot := s.snapshot()
	if snapshot == nil {
		return none, notReady("no configuration is in force yet")
	}
	if _, known := snapshot.Account(call.Account); !known && call.Account != "" {
		return none, structs.Refuse(structs.RefusedForbidden, structs.RunNo, "account %q does not exist", call.Account)
	}
	service, exists := snapshot.Service(call.Service())
	if !exists {
		return none, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "service %q does not exist", call.Service())
	}
	if (service.Kind == config.ServiceModel) != (call.Model != nil) {
		return none, structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "service %q is of kind %q", call.Service(), service.Kind)
	}
	arrived := program.CallArrived{Call: *call, Timeout: s.timeoutOf(call, service)}
	method := ""
	if call.Plain != nil {
		method = call.Plain.Method
	}
	arrived.IsRepeatable = service.MayRepeat(method)
	if !call.EndAfter || call.Kind == "" {
		return arrived, nil
	}
	kind, refusal := s.checkKind(call.Account, call.Kind)
	arrived.Budget = kind.Budget
	arrived.IdleLimit = kind.IdleLimit.Std()
	return arrived, refusal
}

// timeoutOf returns the shortest of the timeouts that apply to a call.
func (s *Scheduler) timeoutOf(call *structs.Call, service config.Service) time.Duration {
	timeout := s.opts.Settings.Limits.CallTimeout.Std()
	if own := service.Timeout.Std(); own > 0 {
		timeout = min(timeout, own)
	}
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return timeout
}

// refuseArrival checks, on the loop's goroutine, what depends on the call's program and
// on earlier crashes. It returns nil if the call may run.
func (l *loop) refuseArrival(arrived *program.CallArrived) *structs.Refusal {
	call := &arrived.Call
	kind := call.Kind
	if info, refusal := l.core.Info(call.Program, call.Account); refusal == nil {
		kind = info.Kind
	}
	snapshot := l.s.snapshot()
	isDirect := call.EndAfter && call.Kind == ""
	if snapshot != nil && kind != "" && !isDirect && !snapshot.MayCall(kind, call.Service()) {
		return structs.Refuse(structs.RefusedForbidden, structs.RunNo, "program %q may not ask service %q", kind, call.Service())
	}
	return l.refuseQuarantined(program.Fingerprint(call))
}
