package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/endivecourse/endivecourse/admin"
	"github.com/endivecourse/endivecourse/internal/strictclient"
)

// maxDumpBytes bounds a response from an admin address.
const maxDumpBytes = 256 << 20

// DumpTooLargeError reports a response from an admin address that is over the limit.
type DumpTooLargeError struct {
	Address string
	Max     int // bytes
}

// Error names the address and the limit.
func (e *DumpTooLargeError) Error() string {
	return fmt.Sprintf("response of %s is over %d bytes", e.Address, e.Max)
}

func (a *app) stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "Show the state of a daemon"}
	c.AddCommand(a.stateDump())
	return commandGroup(c)
}

func (a *app) stateDump() *cobra.Command {
	return &cobra.Command{
		Use:     "dump ADMIN-ADDRESS",
		Short:   "Print the state of a daemon as JSON, without stopping it",
		Example: "  endivectl state dump 127.0.0.1:22012",
		Args:    argCount(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			body, err := a.fetch(c.Context(), args[0], "/dump")
			if err != nil {
				return err
			}
			return a.printJSON(json.RawMessage(body))
		},
	}
}

// fetch returns the body of a GET request to a path of a daemon's admin address.
func (a *app) fetch(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	builder := sling.New().Base("http://" + address).Get(path)
	if token := os.Getenv(EnvOperatorToken); token != "" {
		builder = builder.Set(admin.TokenHeader, "Bearer "+token)
	}
	request, err := builder.Request()
	if err != nil {
		return nil, usageErrorf("ADMIN-ADDRESS must be host:port, not %q", address)
	}
	client := strictclient.NewClient()
	defer client.CloseIdleConnections()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Wrapf(err, "send request to %s", address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDumpBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read response of %s", address)
	}
	if len(body) > maxDumpBytes {
		return nil, &DumpTooLargeError{Address: address, Max: maxDumpBytes}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: address, Status: response.StatusCode, Body: string(body)}
	}
	return body, nil
}
