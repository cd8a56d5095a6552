// Package admin serves a daemon's operators over HTTP: health, readiness,
// metrics and the state dump. Health and readiness are open, for the balancer;
// everything else needs the operators' token or, without one in the settings,
// a peer on loopback.
package admin
