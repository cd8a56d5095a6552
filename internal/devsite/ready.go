package devsite

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/internal/strictclient"
	"github.com/endivecourse/endivecourse/structs"
)

// WaitReady waits until the gateway is ready and a program can be created, which requires
// that the scheduler owns its slots. After the timeout it returns the last failure.
func (s *Site) WaitReady(ctx context.Context, timeout, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := caller.New(s.GatewayURL, s.Key, nil)
	for {
		err := s.probe(ctx, client)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return errors.Wrap(err, "wait until the site is ready")
		}
	}
}

// readinessClient asks gateways whether they are ready.
var readinessClient = strictclient.NewClient()

// probe checks the gateway's readiness, then creates a program and ends it.
func (s *Site) probe(ctx context.Context, client *caller.Client) error {
	response, err := readinessClient.Get(s.GatewayURL + "/readyz")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &caller.RefusedError{Status: response.StatusCode, Kind: structs.RefusedNotReady, Run: structs.RunNo}
	}
	info, err := client.Create(ctx, caller.NewProgram{Program: Kind})
	if err != nil {
		return err
	}
	_, err = client.End(ctx, info.ID)
	return err
}
