package kernel

import (
	"encoding/json"
	"net/http"
	"runtime"
)

// Dumper gives a component's state for the state dump. The value is encoded as
// JSON, must not hold keys, tokens or bodies, and must be safe to encode while
// the component runs.
type Dumper interface {
	DumpState() any
}

type ringStat interface {
	Depth() int
	Cap() int
}

// RingState is a ring's part of the dump.
type RingState struct {
	Depth int `json:"depth"`
	Cap   int `json:"cap"`
}

// Dump is the state of one process.
type Dump struct {
	Goroutines int                  `json:"goroutines"`
	Workers    map[string]int       `json:"duties"`
	Rings      map[string]RingState `json:"rings"`
	Components map[string]any       `json:"components"`
}

// AddDumper lists a further part of the dump under a name of its own.
func (k *Kernel) AddDumper(name string, d Dumper) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dumpers[name] = d
}

func (k *Kernel) addRing(name string, r ringStat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rings[name] = r
}

// DumpState collects the dump without stopping any duty.
func (k *Kernel) DumpState() Dump {
	dump := Dump{
		Goroutines: runtime.NumGoroutine(),
		Workers:    make(map[string]int),
		Rings:      make(map[string]RingState),
		Components: make(map[string]any),
	}
	k.mu.Lock()
	for name, n := range k.duties {
		dump.Workers[name] = n
	}
	for name, r := range k.rings {
		dump.Rings[name] = RingState{Depth: r.Depth(), Cap: r.Cap()}
	}
	dumpers := make(map[string]Dumper, len(k.dumpers))
	for name, d := range k.dumpers {
		dumpers[name] = d
	}
	k.mu.Unlock()
	for name, d := range dumpers {
		dump.Components[name] = d.DumpState()
	}
	return dump
}

// ServeDump answers with the state dump as JSON.
func (k *Kernel) ServeDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(k.DumpState()); err != nil {
		k.Log.Warn("state dump not written", "error", err)
	}
}
