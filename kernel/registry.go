package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// ModuleID is the dotted name of a plug-in, for example "queue.fifo". The part
// before the first dot is the namespace.
type ModuleID string

// Namespace returns the part of the ID before its first dot.
func (id ModuleID) Namespace() string {
	ns, _, _ := strings.Cut(string(id), ".")
	return ns
}

var registry = struct {
	sync.RWMutex
	modules map[ModuleID]any
}{modules: make(map[ModuleID]any)}

// Register adds a plug-in's factory under its ID. It is called from init and
// panics when the ID has no namespace or is taken.
func Register(id ModuleID, factory any) {
	registry.Lock()
	defer registry.Unlock()
	if !strings.Contains(string(id), ".") {
		panic(&InvalidModuleIDError{ID: id})
	}
	if _, taken := registry.modules[id]; taken {
		panic(&DuplicateModuleError{ID: id})
	}
	registry.modules[id] = factory
}

// Lookup returns the factory registered under id as an F. It returns
// *UnknownModuleError or *ModuleTypeError.
func Lookup[F any](id ModuleID) (F, error) {
	registry.RLock()
	defer registry.RUnlock()
	var none F
	factory, ok := registry.modules[id]
	if !ok {
		return none, &UnknownModuleError{ID: id, Known: namesIn(id.Namespace())}
	}
	typed, ok := factory.(F)
	if !ok {
		return none, &ModuleTypeError{ID: id, Want: fmt.Sprintf("%T", none), Have: fmt.Sprintf("%T", factory)}
	}
	return typed, nil
}

// Modules returns the IDs registered in a namespace, sorted.
func Modules(namespace string) []ModuleID {
	registry.RLock()
	defer registry.RUnlock()
	return namesIn(namespace)
}

func namesIn(namespace string) []ModuleID {
	var ids []ModuleID
	for id := range registry.modules {
		if id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
