package prefix

import (
	"container/list"
	"slices"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxPerTarget bounds the prefixes remembered of one target.
	maxPerTarget = 4096
	// maxHolders bounds the targets that are listed under one prefix; one that
	// more targets hold is shared by many programs and found by sampling.
	maxHolders = 8
)

// index remembers which targets hold which prefixes. Invariant: a target is
// listed in byHash under a prefix only if the prefix is in its memory.
type index struct {
	byHash  map[uint64][]holder
	targets map[structs.TargetID]*memory
}

type holder struct {
	target structs.TargetID
	tokens int64
}

// memory is what is remembered of one target, least recently added first.
type memory struct {
	order  *list.List // of uint64 hashes
	places map[uint64]*list.Element
}

func newIndex() *index {
	return &index{byHash: make(map[uint64][]holder), targets: make(map[structs.TargetID]*memory)}
}

func (x *index) add(target structs.TargetID, prefix queue.Prefix) {
	m := x.targets[target]
	if m == nil {
		m = &memory{order: list.New(), places: make(map[uint64]*list.Element)}
		x.targets[target] = m
	}
	if place := m.places[prefix.Hash]; place != nil {
		m.order.MoveToBack(place)
		return
	}
	m.places[prefix.Hash] = m.order.PushBack(prefix.Hash)
	if holders := x.byHash[prefix.Hash]; len(holders) < maxHolders {
		x.byHash[prefix.Hash] = append(holders, holder{target: target, tokens: prefix.Tokens})
	}
	if m.order.Len() > maxPerTarget {
		x.remove(target, m.order.Front().Value.(uint64))
	}
}

func (x *index) remove(target structs.TargetID, hash uint64) {
	m := x.targets[target]
	if m == nil || m.places[hash] == nil {
		return
	}
	m.order.Remove(m.places[hash])
	delete(m.places, hash)
	x.unlink(target, hash)
}

func (x *index) unlink(target structs.TargetID, hash uint64) {
	holders := slices.DeleteFunc(x.byHash[hash], func(h holder) bool { return h.target == target })
	if len(holders) == 0 {
		delete(x.byHash, hash)
		return
	}
	x.byHash[hash] = holders
}

func (x *index) forget(target structs.TargetID) {
	m := x.targets[target]
	if m == nil {
		return
	}
	for hash := range m.places {
		x.unlink(target, hash)
	}
	delete(x.targets, target)
}

// holders calls visit for targets that hold the longest known prefix. The
// first prefix is shared by many programs and is left to the sample.
func (x *index) holders(prefixes []queue.Prefix, visit func(structs.TargetID, int64)) {
	for i := len(prefixes) - 1; i > 0; i-- {
		found := x.byHash[prefixes[i].Hash]
		if len(found) == 0 {
			continue
		}
		for _, h := range found {
			visit(h.target, h.tokens)
		}
		return
	}
}

// cachedAt returns the tokens of the longest prefix that the target holds.
func (x *index) cachedAt(target structs.TargetID, prefixes []queue.Prefix) int64 {
	m := x.targets[target]
	if m == nil {
		return 0
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if m.places[prefixes[i].Hash] != nil {
			return prefixes[i].Tokens
		}
	}
	return 0
}
