package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func TestRecentRefusalsKeepTheLastOnes(t *testing.T) {
	var recent recentRefusals
	assert.Equal(t, len(recent.list(0)), 0)
	for i := range maxRecentRefusals + 3 {
		recent.add(RecentRefusal{Request: structs.RequestID(fmt.Sprint(i))})
	}
	list := recent.list(0)
	assert.Equal(t, len(list), maxRecentRefusals)
	assert.Equal(t, list[0].Request, structs.RequestID(fmt.Sprint(maxRecentRefusals+2)))
	assert.Equal(t, list[maxRecentRefusals-1].Request, structs.RequestID("3"))
}

func TestDumpShowsRecentRefusal(t *testing.T) {
	gw := newTestGateway(t, nil, newFakeScheduler(t))
	response := gw.do("POST", "/v1/programs", `{"program": "unknown"}`)
	assert.Equal(t, response.status, http.StatusForbidden)
	refusals := gw.g.DumpState().(State).RecentRefusals
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Request, structs.RequestID(response.header.Get(headerRequest)))
	assert.Equal(t, refusals[0].Kind, structs.RefusedForbidden)
	assert.Equal(t, refusals[0].Run, structs.RunNo)
	assert.Equal(t, refusals[0].Account, structs.AccountID("acme"))
}
