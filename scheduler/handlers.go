package scheduler

import (
	"context"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// RegisterHandlers registers the scheduler's methods. The server must not accept
// requests before the scheduler has started.
func (s *Scheduler) RegisterHandlers(server *wire.Server) {
	wire.HandleUnary(server, structs.MethodCreateProgram, s.createProgram)
	wire.HandleUnary(server, structs.MethodEndProgram, s.endProgram)
	wire.HandleUnary(server, structs.MethodGetProgram, s.getProgram)
	wire.HandleUnary(server, structs.MethodListPrograms, s.listPrograms)
	wire.HandleUnary(server, structs.MethodHistory, s.history)
	wire.HandleUnary(server, structs.MethodOwners, s.owners)
	wire.HandleUnary(server, methodCrash, s.handleCrash)
	server.Handle(structs.MethodCall, s.handleCall)
}

func (s *Scheduler) createProgram(ctx context.Context, req structs.CreateProgram) (structs.ProgramInfo, error) {
	kind, refusal := s.checkKind(req.Account, req.Kind)
	if refusal != nil {
		return structs.ProgramInfo{}, refusal
	}
	return s.requestProgram(ctx, req.ID, func(token program.Token) program.Event {
		return program.CreateRequested{
			Token: token, Request: req, Budget: kind.Budget,
			IdleLimit: kind.IdleLimit.Std(), MaxDepth: kind.MaxDepth,
		}
	})
}

func (s *Scheduler) endProgram(ctx context.Context, ref structs.ProgramRef) (structs.ProgramInfo, error) {
	return s.requestProgram(ctx, ref.ID, func(token program.Token) program.Event {
		return program.EndRequested{Token: token, ID: ref.ID, Account: ref.Account}
	})
}

// requestProgram posts an event and waits for its DeliverInfo or Refuse action.
func (s *Scheduler) requestProgram(ctx context.Context, id structs.ProgramID, event func(program.Token) program.Event) (structs.ProgramInfo, error) {
	box := s.mailboxes.new(id)
	defer s.mailboxes.close(box)
	if err := s.post(ctx, message{event: event(box.token)}); err != nil {
		return structs.ProgramInfo{}, notReady("%v", err)
	}
	for {
		_, info, refusal, err := box.receive(ctx)
		switch {
		case err != nil:
			return structs.ProgramInfo{}, structs.Refuse(structs.RefusedTimeout, structs.RunUnknown, "%v", err)
		case refusal != nil:
			return structs.ProgramInfo{}, refusal
		case info != nil:
			return *info, nil
		}
	}
}

func (s *Scheduler) getProgram(ctx context.Context, ref structs.ProgramRef) (structs.ProgramInfo, error) {
	found, err := queryLoop(ctx, s, func(l *loop) lookup[structs.ProgramInfo] {
		return newLookup(l.core.Info(ref.ID, ref.Account))
	})
	return found.value, s.resultError(ref.ID, err, found.refusal)
}

func (s *Scheduler) history(ctx context.Context, ref structs.ProgramRef) (structs.History, error) {
	found, err := queryLoop(ctx, s, func(l *loop) lookup[structs.History] {
		return newLookup(l.core.History(ref.ID, ref.Account))
	})
	return found.value, s.resultError(ref.ID, err, found.refusal)
}

// lookup is what the core returns for one program.
type lookup[T any] struct {
	value   T
	refusal *structs.Refusal
}

func newLookup[T any](value T, refusal *structs.Refusal) lookup[T] {
	return lookup[T]{value: value, refusal: refusal}
}

// resultError returns err or the refusal, completed with the slot's owner.
func (s *Scheduler) resultError(id structs.ProgramID, err error, refusal *structs.Refusal) error {
	if err != nil {
		return err
	}
	if refusal != nil {
		return s.withOwner(id, refusal)
	}
	return nil
}

func (s *Scheduler) listPrograms(ctx context.Context, req structs.ListPrograms) (structs.ProgramList, error) {
	return queryLoop(ctx, s, func(l *loop) structs.ProgramList {
		return structs.ProgramList{Programs: l.core.List(req.Account)}
	})
}

func (s *Scheduler) owners(context.Context, structs.OwnersQuery) (structs.Owners, error) {
	owners := structs.Owners{Domain: s.opts.Settings.Domain}
	for slot := range s.opts.Settings.Lease.Slots {
		owners.Slots = append(owners.Slots, s.opts.Ownership.OwnerAddr(structs.Slot(slot)))
	}
	return owners, nil
}
