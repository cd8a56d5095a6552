package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func TestRecentRefusals(t *testing.T) {
	var recent recentRefusals
	assert.Equal(t, len(recent.list(0)), 0)
	for i := range maxRecent + 3 {
		recent.add(RecentRefusal{Request: structs.RequestID(fmt.Sprint(i))})
	}
	list := recent.list(0)
	assert.Equal(t, len(list), maxRecent)
	assert.Equal(t, list[0].Request, structs.RequestID(fmt.Sprint(maxRecent+2)))
	assert.Equal(t, list[maxRecent-1].Request, structs.RequestID("3"))
}

func TestDumpExplainsRefusal(t *testing.T) {
	b := newBed(t, nil, newScheduler(t))
	answer := b.do("POST", "/v1/programs", `{"program": "unknown"}`)
	assert.Equal(t, answer.status, http.StatusForbidden)
	refusals := b.g.DumpState().(State).RecentRefusals
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Request, structs.RequestID(answer.header.Get(headerRequest)))
	assert.Equal(t, refusals[0].Kind, structs.RefusedForbidden)
	assert.Equal(t, refusals[0].Run, structs.RunNo)
	assert.Equal(t, refusals[0].Account, structs.AccountID("acme"))
}
