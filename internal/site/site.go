// Package site runs the stand-ins that one site needs, on loopback: the
// platform, and a target for each one of the operators' document.
package site

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/structs"
)

// Options sets up a Site.
type Options struct {
	Document     config.Document // its targets' URLs are listened on
	PlatformAddr string          // host:port
	VMs          []backing.VM
	Engine       engine.Options
	Plain        plain.Options
}

// Site is a running set of stand-ins.
type Site struct {
	Platform      *standin.Server
	Engines       map[structs.TargetID]*engine.Server
	PlainServices map[structs.TargetID]*plain.Server
	servers       []*http.Server
}

// Start starts the stand-ins and publishes the document as version 1.
func Start(ctx context.Context, opts Options) (*Site, error) {
	s := &Site{
		Platform:      standin.New(standin.Options{VMs: opts.VMs}),
		Engines:       make(map[structs.TargetID]*engine.Server),
		PlainServices: make(map[structs.TargetID]*plain.Server),
	}
	if err := s.startAll(opts); err != nil {
		s.Close()
		return nil, err
	}
	if _, err := s.Store().Publish(ctx, 0, "site", opts.Document); err != nil {
		s.Close()
		return nil, errors.Wrap(err, "publish document")
	}
	return s, nil
}

// Store returns the store of the operators' document, in process.
func (s *Site) Store() *config.Store { return &config.Store{Table: s.Platform.Services().Table} }

func (s *Site) startAll(opts Options) error {
	if err := s.serve(opts.PlatformAddr, s.Platform.Handler()); err != nil {
		return err
	}
	for _, service := range opts.Document.Services {
		for id, target := range service.Targets {
			if err := s.startTarget(opts, service.Kind, id, target); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startTarget(opts Options, kind config.ServiceKind, id structs.TargetID, target config.Target) error {
	base, err := url.Parse(target.URL)
	if err != nil {
		return errors.Wrapf(err, "URL of target %s", id)
	}
	if kind == config.ServicePlain {
		server := plain.New(opts.Plain)
		s.PlainServices[id] = server
		return s.serve(base.Host, server.Handler())
	}
	options := opts.Engine
	options.ChecksFence = target.ChecksFence
	server := engine.New(options)
	s.Engines[id] = server
	return s.serve(base.Host, server.Handler())
}

func (s *Site) serve(addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with Close
	return nil
}

// Close ends all stand-ins.
func (s *Site) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// HeldPrograms returns what all engines hold, by program.
func (s *Site) HeldPrograms() []structs.ProgramID {
	var held []structs.ProgramID
	for _, server := range s.Engines {
		held = append(held, server.Holds()...)
	}
	return held
}

// Executions returns how often each request ran at any plain target whose path
// has the prefix.
func (s *Site) Executions(prefix string) map[plain.Call]int {
	all := make(map[plain.Call]int)
	for _, server := range s.PlainServices {
		for call, n := range server.Executions() {
			if strings.HasPrefix(call.Path, prefix) {
				all[call] += n
			}
		}
	}
	return all
}
