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
	baseFile    = "../examples/tayside/base.jsonc"
	overlayFile = "../examples/tayside/overlay.jsonc"
)

// fakePlatform holds the services that the platform driver "fake" returns. Each test sets
// its own.
var fakePlatform atomic.Pointer[backing.Services]

func init() {
	kernel.Register("platform.fake", backing.Factory(func(string, time.Duration) (backing.Services, error) {
		return *fakePlatform.Load(), nil
	}))
}

type fixedVMs []backing.VM

func (l fixedVMs) VMs(context.Context) ([]backing.VM, error) { return l, nil }

// newPlatform sets a fake platform on which the given domains report each stored version
// as in force at once.
func newPlatform(t *testing.T, vms fixedVMs, domains ...string) *tabletest.Table {
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

func newPlatformInAllDomains(t *testing.T) *tabletest.Table {
	return newPlatform(t, nil, "dundee-a", "perth-b", "glasgow-a")
}

// run executes a command line on the fake platform with the author "op".
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

func applyFiles(t *testing.T, extraArgs ...string) (int, string, string) {
	t.Helper()
	return run(t, append([]string{"config", "apply", "--base", baseFile, "--overlay", overlayFile}, extraArgs...)...)
}

func TestApplyPrintsVersionAndDomains(t *testing.T) {
	newPlatformInAllDomains(t)
	status, out, _ := applyFiles(t)
	assert.Equal(t, status, ExitOK)
	assert.Assert(t, strings.Contains(out, "stored at version 1\n"), out)
	assert.Assert(t, strings.HasSuffix(out, "in force in 3 of 3 failure domains\n"), out)
	out = mustRun(t, "config", "diff", "--base", baseFile, "--overlay", overlayFile)
	assert.Equal(t, out, "no change from version 1\n")
}

func TestApplyListsMissingDomains(t *testing.T) {
	newPlatform(t, nil, "dundee-a", "glasgow-a")
	status, out, errOut := applyFiles(t, "--wait", "50ms")
	assert.Equal(t, status, ExitNotInForce)
	assert.Assert(t, strings.Contains(out, "stored at version 1\n"), out)
	assert.Equal(t, errOut, "version 1 is in force in 2 of 3 failure domains; missing: perth-b\n")
	status, out, _ = applyFiles(t, "--wait", "50ms", "--json")
	assert.Equal(t, status, ExitNotInForce)
	var o outcome
	assert.NilError(t, json.Unmarshal([]byte(out), &o))
	assert.Equal(t, o.Version, uint64(2))
	assert.DeepEqual(t, o.Missing, []structs.DomainID{"perth-b"})
}

func TestApplyConflictNamesOtherAuthor(t *testing.T) {
	table := newPlatformInAllDomains(t)
	doc, err := config.Load(baseFile, overlayFile)
	assert.NilError(t, err)
	_, err = (&config.Store{Table: table}).Publish(t.Context(), 0, "rival", doc)
	assert.NilError(t, err)
	status, _, errOut := applyFiles(t, "--expect", "0")
	assert.Equal(t, status, ExitConflict)
	assert.Equal(t, errOut, "not stored: version 1 by \"rival\" was stored first\n")
	assert.Equal(t, len(mustRun(t, "config", "history")), len("VERSION  TIME                  AUTHOR\n1        2026-12-04T00:00:00Z  rival\n"))
}

func TestApplyFailsWhenStoreIsDown(t *testing.T) {
	table := newPlatformInAllDomains(t)
	table.SetDown(true)
	status, _, errOut := applyFiles(t)
	assert.Equal(t, status, ExitFailed)
	assert.Assert(t, strings.HasPrefix(errOut, "not stored: "), errOut)
}

func TestRollbackStoresNewVersion(t *testing.T) {
	newPlatformInAllDomains(t)
	_, _, _ = applyFiles(t)
	mustRun(t, "account", "set", "council-dundee", "--rate", "7.5", "--burst", "9")
	assert.Assert(t, strings.Contains(mustRun(t, "account", "list"), "7.5/s"))
	out := mustRun(t, "config", "rollback", "1")
	assert.Assert(t, strings.Contains(out, "stored at version 3\n"), out)
	assert.Assert(t, strings.Contains(out, "accounts.council-dundee.rate_per_second: 7.5 -> 40"), out)
	status, _, _ := run(t, "config", "rollback", "17")
	assert.Equal(t, status, ExitBadInput)
}

// A created key is valid at once and stored only as a hash. Once withdrawn, it stays invalid
// after a file that has it is applied and after a rollback to a version that had it.
func TestWithdrawnKeyStaysInvalid(t *testing.T) {
	table := newPlatformInAllDomains(t)
	_, _, _ = applyFiles(t)
	var created outcome
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, "key", "create", "council-dundee", "--note", "desk", "--json")), &created))
	isKeyValid := func() bool {
		snapshot, err := (&config.Store{Table: table}).Current(t.Context())
		assert.NilError(t, err)
		_, _, ok := snapshot.Authenticate(created.Key)
		return ok
	}
	assert.Assert(t, isKeyValid())
	_, _, _ = applyFiles(t)
	assert.Assert(t, isKeyValid(), "key lost by apply")
	rows, err := table.List(t.Context(), "")
	assert.NilError(t, err)
	secretPart := created.Key[strings.LastIndex(created.Key, "_")+1:]
	for _, row := range rows {
		assert.Assert(t, !bytes.Contains(row.Value, []byte(secretPart)), "row %s", row.Key)
	}
	assert.Assert(t, strings.Contains(mustRun(t, "key", "list", "council-dundee"), created.KeyID))
	mustRun(t, "key", "withdraw", "council-dundee", created.KeyID)
	assert.Assert(t, !isKeyValid())
	mustRun(t, "config", "rollback", "2")
	assert.Assert(t, !isKeyValid(), "withdrawn key valid after a rollback")
	mustRun(t, "key", "withdraw", "council-dundee", "bef816d7008223f2")
	_, _, _ = applyFiles(t)
	assert.Assert(t, !strings.Contains(mustRun(t, "key", "list"), "bef816d7008223f2"), "withdrawn key valid after applying the file")
	status, _, _ := run(t, "key", "withdraw", "council-dundee", created.KeyID)
	assert.Equal(t, status, ExitBadInput)
}

func TestTargetDrain(t *testing.T) {
	newPlatformInAllDomains(t)
	_, _, _ = applyFiles(t)
	mustRun(t, "target", "drain", "permit-app-3")
	assert.Equal(t, strings.Count(mustRun(t, "target", "list"), "drained"), 1)
	mustRun(t, "target", "drain", "permit-app-3", "--undo")
	assert.Equal(t, strings.Count(mustRun(t, "target", "list"), "drained"), 0)
}

func TestBadInputExitStatus(t *testing.T) {
	newPlatformInAllDomains(t)
	invalidFile := filepath.Join(t.TempDir(), "wrong.jsonc")
	assert.NilError(t, os.WriteFile(invalidFile, []byte("{\n\"accounts\": {\"council-dundee\": {\"burst\": 0}}}"), 0o600))
	_, _, _ = applyFiles(t)
	cases := [][]string{
		{"config", "check"},
		{"config", "check", "--base", baseFile, "--overlay", invalidFile},
		{"config", "check", "--base", baseFile + ".absent"},
		{"config", "apply", "--base", baseFile, "--overlay", overlayFile, "--keys", "none"},
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
			var f jsonError
			assert.NilError(t, json.Unmarshal([]byte(errOut), &f), errOut)
			assert.Equal(t, f.Status, ExitBadInput)
		})
	}
	status, _, errOut := run(t, "config", "check", "--base", baseFile, "--overlay", invalidFile)
	assert.Equal(t, status, ExitBadInput)
	assert.Assert(t, strings.Contains(errOut, fmt.Sprintf("%s:2: accounts.council-dundee.burst: must be a whole number of at least 1", invalidFile)), errOut)
}

func TestVMList(t *testing.T) {
	newPlatform(t, fixedVMs{{ID: "dundee-a-1", Domain: "dundee-a", State: backing.VMLive}})
	assert.Assert(t, strings.Contains(mustRun(t, "vm", "list"), "dundee-a-1"))
}

// Every command has a short help, and every subcommand an example that starts with its path.
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
	newPlatformInAllDomains(t)
	status, _, errOut := run(t, "config", "show")
	assert.Equal(t, status, ExitBadInput, errOut)
	_, _, _ = applyFiles(t)
	shown := mustRun(t, "config", "show")
	file := filepath.Join(t.TempDir(), "base.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(shown), 0o600))
	assert.Equal(t, mustRun(t, "config", "diff", "--base", file), "no change from version 1\n")
	assert.Equal(t, mustRun(t, "config", "show", "1"), shown)
	status, _, _ = run(t, "config", "show", "9")
	assert.Equal(t, status, ExitBadInput)
}

func TestTargetOrderUsage(t *testing.T) {
	newPlatformInAllDomains(t)
	_, _, _ = applyFiles(t)
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
