package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/tabletest"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	base    = "../examples/tayside/base.jsonc"
	overlay = "../examples/tayside/overlay.jsonc"
)

// fakePlatform is what the driver "fake" gives; each test sets its own.
var fakePlatform atomic.Pointer[backing.Services]

func init() {
	kernel.Register("platform.fake", backing.Factory(func(string, time.Duration) (backing.Services, error) {
		return *fakePlatform.Load(), nil
	}))
}

type vmList []backing.VM

func (l vmList) VMs(context.Context) ([]backing.VM, error) { return l, nil }

// newPlatform sets a platform on which the given domains report each stored
// version at once.
func newPlatform(t *testing.T, vms vmList, domains ...string) *tabletest.Table {
	table := tabletest.New()
	table.OnCommit(func(txn backing.Txn) {
		for _, w := range txn.Writes {
			if w.Key != config.RowCurrent {
				continue
			}
			for _, domain := range domains {
				_, err := table.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: config.RowInForcePrefix + domain, Value: w.Value}}})
				assert.Check(t, err)
			}
		}
	})
	fakePlatform.Store(&backing.Services{Table: table, VMs: vms})
	return table
}

func allDomains(t *testing.T) *tabletest.Table {
	return newPlatform(t, nil, "dundee-a", "perth-b", "glasgow-a")
}

// run executes a command line by operator "op".
func run(t *testing.T, args ...string) (status int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	args = append(args, "--platform", "http://127.0.0.1:1", "--platform-driver", "fake", "--author", "op")
	status = Run(t.Context(), args, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	status, out, errOut := run(t, args...)
	assert.Equal(t, status, ExitOK, "%v: %s%s", args, out, errOut)
	return out
}

func apply(t *testing.T, more ...string) (int, string, string) {
	t.Helper()
	return run(t, append([]string{"config", "apply", "--base", base, "--overlay", overlay}, more...)...)
}

func TestApplySaysStoredAndInForce(t *testing.T) {
	allDomains(t)
	status, out, _ := apply(t)
	assert.Equal(t, status, ExitOK)
	assert.Assert(t, strings.Contains(out, "stored at version 1\n"), out)
	assert.Assert(t, strings.HasSuffix(out, "in force in 3 of 3 failure domains\n"), out)
	out = mustRun(t, "config", "diff", "--base", base, "--overlay", overlay)
	assert.Equal(t, out, "no change from version 1\n")
}

func TestApplyNamesMissingDomains(t *testing.T) {
	newPlatform(t, nil, "dundee-a", "glasgow-a")
	status, out, errOut := apply(t, "--wait", "50ms")
	assert.Equal(t, status, ExitNotInForce)
	assert.Assert(t, strings.Contains(out, "stored at version 1\n"), out)
	assert.Equal(t, errOut, "version 1 is in force in 2 of 3 failure domains; missing: perth-b\n")
	status, out, _ = apply(t, "--wait", "50ms", "--json")
	assert.Equal(t, status, ExitNotInForce)
	var o outcome
	assert.NilError(t, json.Unmarshal([]byte(out), &o))
	assert.Equal(t, o.Version, uint64(2))
	assert.DeepEqual(t, o.Missing, []structs.DomainID{"perth-b"})
}

func TestLostRaceNamesTheOther(t *testing.T) {
	table := allDomains(t)
	doc, err := config.Load(base, overlay)
	assert.NilError(t, err)
	_, err = (&config.Store{Table: table}).Publish(t.Context(), 0, "rival", doc)
	assert.NilError(t, err)
	status, _, errOut := apply(t, "--expect", "0")
	assert.Equal(t, status, ExitConflict)
	assert.Equal(t, errOut, "not stored: version 1 by \"rival\" was stored first\n")
	assert.Equal(t, len(mustRun(t, "config", "history")), len("VERSION  TIME                  AUTHOR\n1        2026-12-04T00:00:00Z  rival\n"))
}

func TestStoreDownIsNotStored(t *testing.T) {
	table := allDomains(t)
	table.SetDown(true)
	status, _, errOut := apply(t)
	assert.Equal(t, status, ExitFailed)
	assert.Assert(t, strings.HasPrefix(errOut, "not stored: "), errOut)
}

func TestRollbackIsANewVersion(t *testing.T) {
	allDomains(t)
	_, _, _ = apply(t)
	mustRun(t, "account", "set", "council-dundee", "--rate", "7.5", "--burst", "9")
	assert.Assert(t, strings.Contains(mustRun(t, "account", "list"), "7.5/s"))
	out := mustRun(t, "config", "rollback", "1")
	assert.Assert(t, strings.Contains(out, "stored at version 3\n"), out)
	assert.Assert(t, strings.Contains(out, "accounts.council-dundee.rate_per_second: 7.5 -> 40"), out)
	status, _, _ := run(t, "config", "rollback", "17")
	assert.Equal(t, status, ExitBadInput)
}

// A key is shown once, is kept hashed, and once withdrawn comes back neither
// by a file nor by a rollback.
func TestKeyLife(t *testing.T) {
	table := allDomains(t)
	_, _, _ = apply(t)
	var created outcome
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, "key", "create", "council-dundee", "--note", "desk", "--json")), &created))
	valid := func() bool {
		snapshot, err := (&config.Store{Table: table}).Current(t.Context())
		assert.NilError(t, err)
		_, _, ok := snapshot.Authenticate(created.Key)
		return ok
	}
	assert.Assert(t, valid())
	_, _, _ = apply(t)
	assert.Assert(t, valid(), "apply keeps a stored key")
	rows, err := table.List(t.Context(), "")
	assert.NilError(t, err)
	secret := created.Key[strings.LastIndex(created.Key, "_")+1:]
	for _, row := range rows {
		assert.Assert(t, !bytes.Contains(row.Value, []byte(secret)), "row %s", row.Key)
	}
	assert.Assert(t, strings.Contains(mustRun(t, "key", "list", "council-dundee"), created.KeyID))
	mustRun(t, "key", "withdraw", "council-dundee", created.KeyID)
	assert.Assert(t, !valid())
	mustRun(t, "config", "rollback", "2")
	assert.Assert(t, !valid(), "a rollback brings no key back")
	mustRun(t, "key", "withdraw", "council-dundee", "bef816d7008223f2")
	_, _, _ = apply(t)
	assert.Assert(t, !strings.Contains(mustRun(t, "key", "list"), "bef816d7008223f2"), "a file brings no key back")
	status, _, _ := run(t, "key", "withdraw", "council-dundee", created.KeyID)
	assert.Equal(t, status, ExitBadInput)
}

func TestTargetDrain(t *testing.T) {
	allDomains(t)
	_, _, _ = apply(t)
	mustRun(t, "target", "drain", "permit-app-3")
	assert.Equal(t, strings.Count(mustRun(t, "target", "list"), "drained"), 1)
	mustRun(t, "target", "drain", "permit-app-3", "--undo")
	assert.Equal(t, strings.Count(mustRun(t, "target", "list"), "drained"), 0)
}

func TestBadInput(t *testing.T) {
	allDomains(t)
	wrong := filepath.Join(t.TempDir(), "wrong.jsonc")
	assert.NilError(t, os.WriteFile(wrong, []byte("{\n\"accounts\": {\"council-dundee\": {\"burst\": 0}}}"), 0o600))
	_, _, _ = apply(t)
	cases := [][]string{
		{"config", "check"},
		{"config", "check", "--base", base, "--overlay", wrong},
		{"config", "check", "--base", base + ".absent"},
		{"config", "apply", "--base", base, "--overlay", overlay, "--keys", "none"},
		{"config", "apply", "--colour"},
		{"config", "rollback", "x"},
		{"config", "rollback"},
		{"config", "apply-all"},
		{"polish"},
		{"account", "set", "council-dundee"},
		{"account", "set", "council-dundee", "--burst", "0"},
		{"account", "set", "nobody", "--burst", "1"},
		{"key", "create", "nobody"},
		{"target", "drain", "nothing"},
		{"program", "show", "no-domain"},
	}
	for _, args := range cases {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			status, _, errOut := run(t, append(args, "--json")...)
			assert.Equal(t, status, ExitBadInput, errOut)
			var f failure
			assert.NilError(t, json.Unmarshal([]byte(errOut), &f), errOut)
			assert.Equal(t, f.Status, ExitBadInput)
		})
	}
	status, _, errOut := run(t, "config", "check", "--base", base, "--overlay", wrong)
	assert.Equal(t, status, ExitBadInput)
	assert.Assert(t, strings.Contains(errOut, fmt.Sprintf("%s:2: accounts.council-dundee.burst: must be a whole number of at least 1", wrong)), errOut)
}

func TestVMList(t *testing.T) {
	newPlatform(t, vmList{{ID: "dundee-a-1", Domain: "dundee-a", State: backing.VMLive}})
	assert.Assert(t, strings.Contains(mustRun(t, "vm", "list"), "dundee-a-1"))
}

// Every verb has an example that starts with its own path, and a short help.
func TestHelpAndCompletion(t *testing.T) {
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		assert.Assert(t, c.Short != "", c.CommandPath())
		if !c.HasSubCommands() {
			assert.Assert(t, strings.HasPrefix(c.Example, "  "+c.CommandPath()), c.CommandPath())
		}
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	visit((&app{}).root())
	for _, shell := range []string{"bash", "zsh", "fish"} {
		assert.Assert(t, strings.Contains(mustRun(t, "completion", shell), "endivectl"))
	}
	assert.Assert(t, strings.Contains(mustRun(t, "version"), "endivectl"))
	assert.Assert(t, strings.Contains(mustRun(t), "Exit statuses"))
}

func TestConfigShow(t *testing.T) {
	allDomains(t)
	status, _, errOut := run(t, "config", "show")
	assert.Equal(t, status, ExitBadInput, errOut)
	_, _, _ = apply(t)
	shown := mustRun(t, "config", "show")
	file := filepath.Join(t.TempDir(), "base.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(shown), 0o600))
	assert.Equal(t, mustRun(t, "config", "diff", "--base", file), "no change from version 1\n")
	assert.Equal(t, mustRun(t, "config", "show", "1"), shown)
	status, _, _ = run(t, "config", "show", "9")
	assert.Equal(t, status, ExitBadInput)
}

func TestTargetOrderUsage(t *testing.T) {
	allDomains(t)
	_, _, _ = apply(t)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"permit-app-1", "load", "m"}, "KIND must be"},
		{[]string{"nobody", "load_model", "m"}, `no target "nobody"`},
		{[]string{"permit-app-1", "load_model", "m"}, "plain service"},
	} {
		status, _, errOut := run(t, append([]string{"target", "order"}, c.args...)...)
		assert.Equal(t, status, ExitBadInput)
		assert.Assert(t, strings.Contains(errOut, c.want), errOut)
	}
}
