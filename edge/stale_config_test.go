package edge

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

// Guards against requests that a VM serves by a configuration of which it knows that it is
// replaced elsewhere: the route may lead elsewhere and the key be withdrawn.
func TestVMThatLagsBehindAKnownConfigurationRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Until(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))) // after the start of the process
		placer := -1
		s := newServersInRegions(1, &placer)[0]
		s.opts.ConfigApply = 4 * time.Second
		version := uint64(3)
		s.opts.Config = routing.NewConfig(func([]byte) (*routing.Table, error) {
			return routing.NewTable(routing.TableContents{Version: version}), nil
		})
		_, err := s.opts.Config.UpdateIfNewer([]byte("3"))
		assert.NilError(t, err)
		s.UpdateEvacuations(nil, true)
		s.ConfirmConfig(0)
		refusal := func() *structs.Refusal {
			x := &exchange{Request: &Request{ID: "r", Host: "h", Path: "/"}, server: s}
			return x.prepare(t.Context())
		}
		assert.Assert(t, s.opts.Config.NoteVersion(7, "peer"))
		time.Sleep(1900 * time.Millisecond)
		assert.Assert(t, !s.opts.Config.NoteVersion(7, "another peer"))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, s.Ready())
		assert.Equal(t, refusal().Kind, structs.RefusedNotFound, "the configuration in force has no route")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, refusal().Kind, structs.RefusedStaleConfig)
		assert.Equal(t, refusal().Status, http.StatusServiceUnavailable)
		assert.Assert(t, refusal().Run == structs.RunNo && refusal().RetryAfter > 0)
		var stale *StaleConfigError
		assert.Assert(t, errors.As(s.Ready(), &stale) && stale.Known == 7 && stale.InForce == 3)
		time.Sleep(2 * time.Second)
		assert.NilError(t, s.Ready(), "cut off from the VMs that have the newer one")
		assert.Equal(t, refusal().Kind, structs.RefusedStaleConfig, "404 by a configuration that is not confirmed")
		s.ConfirmConfig(0)
		assert.Equal(t, refusal().Kind, structs.RefusedNotFound)
		assert.Assert(t, !s.opts.Config.NoteVersion(7, "peer"), "known already")
		assert.Equal(t, refusal().Kind, structs.RefusedStaleConfig)
		version = 7
		_, err = s.opts.Config.UpdateIfNewer([]byte("7"))
		assert.NilError(t, err)
		assert.NilError(t, s.Ready())
		assert.Assert(t, refusal().Kind != structs.RefusedStaleConfig)
	})
}
