// Package admin is a daemon's HTTP server for operators: health, readiness, metrics and
// the state dump. Health and readiness need no authorization, since the load balancer
// reads them. Everything else needs the operators' token; if the settings have none, only
// clients on a loopback address are allowed.
package admin
