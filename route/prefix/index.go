package prefix

import (
	"container/list"
	"slices"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxPrefixesPerTarget is the maximum number of prefixes remembered for one
	// target.
	maxPrefixesPerTarget = 4096
	// maxHolders is the maximum number of targets listed under one prefix. A
	// prefix that more targets hold is shared by many programs, so that sampling
	// finds a target that holds it.
	maxHolders = 8
)

// cacheIndex estimates which targets have which prefixes in their cache.
// Invariant: a target is listed in byHash under a prefix only if the prefix is
// among its targetPrefixes.
type cacheIndex struct {
	byHash  map[uint64][]holder
	targets map[structs.TargetID]*targetPrefixes
}

type holder struct {
	target structs.TargetID
	tokens int64
}

// targetPrefixes holds the prefixes remembered for one target, least recently
// added first.
type targetPrefixes struct {
	order    *list.List // of uint64 hashes
	elements map[uint64]*list.Element
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{byHash: make(map[uint64][]holder), targets: make(map[structs.TargetID]*targetPrefixes)}
}

func (x *cacheIndex) add(target structs.TargetID, prefix queue.Prefix) {
	m := x.targets[target]
	if m == nil {
		m = &targetPrefixes{order: list.New(), elements: make(map[uint64]*list.Element)}
		x.targets[target] = m
	}
	if element := m.elements[prefix.Hash]; element != nil {
		m.order.MoveToBack(element)
		return
	}
	m.elements[prefix.Hash] = m.order.PushBack(prefix.Hash)
	if holders := x.byHash[prefix.Hash]; len(holders) < maxHolders {
		x.byHash[prefix.Hash] = append(holders, holder{target: target, tokens: prefix.Tokens})
	}
	if m.order.Len() > maxPrefixesPerTarget {
		x.remove(target, m.order.Front().Value.(uint64))
	}
}

func (x *cacheIndex) remove(target structs.TargetID, hash uint64) {
	m := x.targets[target]
	if m == nil || m.elements[hash] == nil {
		return
	}
	m.order.Remove(m.elements[hash])
	delete(m.elements, hash)
	x.removeHolder(target, hash)
}

func (x *cacheIndex) removeHolder(target structs.TargetID, hash uint64) {
	holders := slices.DeleteFunc(x.byHash[hash], func(h holder) bool { return h.target == target })
	if len(holders) == 0 {
		delete(x.byHash, hash)
		return
	}
	x.byHash[hash] = holders
}

func (x *cacheIndex) removeTarget(target structs.TargetID) {
	m := x.targets[target]
	if m == nil {
		return
	}
	for hash := range m.elements {
		x.removeHolder(target, hash)
	}
	delete(x.targets, target)
}

// visitHolders calls visit for the targets listed under the longest prefix that
// any target holds. The first prefix is skipped: it is shared by many programs,
// and sampling finds targets that hold it.
func (x *cacheIndex) visitHolders(prefixes []queue.Prefix, visit func(structs.TargetID, int64)) {
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

// cachedTokens returns the length in tokens of the longest prefix that the
// target holds.
func (x *cacheIndex) cachedTokens(target structs.TargetID, prefixes []queue.Prefix) int64 {
	m := x.targets[target]
	if m == nil {
		return 0
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if m.elements[prefixes[i].Hash] != nil {
			return prefixes[i].Tokens
		}
	}
	return 0
}
