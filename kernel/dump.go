package kernel

import (
	"encoding/json"
	"net/http"
	"runtime"
)

// Dumper returns a component's state for the state dump. The value is encoded
// as JSON. It must not contain keys, tokens or bodies, and must be safe to
// encode while the component runs.
type Dumper interface {
	DumpState() any
}

type ringStats interface {
	Depth() int
	Cap() int
}

// RingState is the entry of one ring in the dump.
type RingState struct {
	Depth int `json:"depth"`
	Cap   int `json:"cap"`
}

// Dump is the state of one process. Workers holds the number of running
// workers by name.
type Dump struct {
	Goroutines int                  `json:"goroutines"`
	Workers    map[string]int       `json:"duties"`
	Rings      map[string]RingState `json:"rings"`
	Components map[string]any       `json:"components"`
}

// AddDumper adds the state of d to the dump under the given name, in place of
// any dumper of that name.
func (k *Kernel) AddDumper(name string, d Dumper) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dumpers[name] = d
}

func (k *Kernel) addRing(name string, r ringStats) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rings[name] = r
}

// DumpState collects the dump while the workers keep running.
func (k *Kernel) DumpState() Dump {
	dump := Dump{
		Goroutines: runtime.NumGoroutine(),
		Workers:    make(map[string]int),
		Rings:      make(map[string]RingState),
		Components: make(map[string]any),
	}
	k.mu.Lock()
	for name, n := range k.workers {
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

// ServeDump writes the state dump to the response as JSON.
func (k *Kernel) ServeDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(k.DumpState()); err != nil {
		k.Log.Warn("state dump not written", "error", err)
	}
}
