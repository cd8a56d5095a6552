package gateway

import (
	"context"
	"net/http"

	"github.com/endivecourse/endivecourse/structs"
)

// createRequest is the body of POST /v1/programs.
type createRequest struct {
	Program string `json:"program"`
	Budget  int64  `json:"budget_tokens"`
	Parent  string `json:"parent"`
}

func (x *exchange) handleCreateProgram(ctx context.Context) error {
	if err := x.requireKey(ctx); err != nil {
		return err
	}
	var body createRequest
	if err := x.readJSON(ctx, &body); err != nil {
		return err
	}
	key, err := x.idempotencyKey()
	if err != nil {
		return err
	}
	create, err := x.newCreate(body, key)
	if err != nil {
		return err
	}
	var info structs.ProgramInfo
	if err := x.callOwner(ctx, create.ID, structs.MethodCreateProgram, create, &info); err != nil {
		return err
	}
	return x.writeJSON(http.StatusCreated, encodeInfo(info))
}

func (x *exchange) newCreate(body createRequest, key string) (structs.CreateProgram, error) {
	create := structs.CreateProgram{Account: x.account, Kind: body.Program, Budget: body.Budget, Request: x.id}
	if body.Program == "" {
		return create, badRequest("program", "the field is required")
	}
	if body.Budget < 0 {
		return create, badRequest("budget_tokens", "the budget may not be negative")
	}
	if !x.snapshot.MayRun(x.account, body.Program) {
		return create, forbiddenProgram(body.Program)
	}
	create.ID = x.programIDFor("create", key)
	if body.Parent == "" {
		return create, nil
	}
	parent, err := decodeID("parent", body.Parent)
	if err != nil {
		return create, err
	}
	create.Parent = parent
	create.ID = childID(parent, create.ID)
	return create, nil
}

func forbiddenProgram(kind string) *structs.Refusal {
	refusal := refuse(structs.RefusedForbidden, "the client account may not run program %q", kind)
	refusal.Field = "program"
	return refusal
}

// programRef authenticates the request and returns the program that its URL names.
func (x *exchange) programRef(ctx context.Context) (structs.ProgramRef, error) {
	if err := x.requireKey(ctx); err != nil {
		return structs.ProgramRef{}, err
	}
	id, err := decodeID("id", x.r.PathValue("id"))
	return structs.ProgramRef{ID: id, Account: x.account, Request: x.id}, err
}

func (x *exchange) handleGetProgram(ctx context.Context) error {
	return x.programInfo(ctx, structs.MethodGetProgram)
}

func (x *exchange) handleEndProgram(ctx context.Context) error {
	return x.programInfo(ctx, structs.MethodEndProgram)
}

func (x *exchange) programInfo(ctx context.Context, method string) error {
	ref, err := x.programRef(ctx)
	if err != nil {
		return err
	}
	var info structs.ProgramInfo
	if err := x.callOwner(ctx, ref.ID, method, ref, &info); err != nil {
		return err
	}
	return x.writeJSON(http.StatusOK, encodeInfo(info))
}

func (x *exchange) handleHistory(ctx context.Context) error {
	ref, err := x.programRef(ctx)
	if err != nil {
		return err
	}
	var history structs.History
	if err := x.callOwner(ctx, ref.ID, structs.MethodHistory, ref, &history); err != nil {
		return err
	}
	return x.writeJSON(http.StatusOK, encodeHistory(history))
}
