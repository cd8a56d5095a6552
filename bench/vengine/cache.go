package vengine

import "container/list"

// cache holds prefixes of prompts as a tree: a node covers the tokens between
// its parent's boundary and its own. A node with children or users is not
// evicted, so every cached prefix is cached from its first token on.
type cache struct {
	nodes map[uint64]*node
	order *list.List // of *node, least recently used first
	used  int64      // tokens
}

type node struct {
	hash     uint64
	length   int64 // tokens of the whole prefix
	own      int64 // tokens beyond the parent
	parent   *node
	children int
	users    int // running sequences
	place    *list.Element
}

func newCache() *cache {
	return &cache{nodes: make(map[uint64]*node), order: list.New()}
}

// longest returns the node of the longest cached prefix, or nil.
func (c *cache) longest(prefixes []Prefix) *node {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if n := c.nodes[prefixes[i].Hash]; n != nil {
			return n
		}
	}
	return nil
}

// touch marks a prefix as used. Parents follow their children in the order.
func (c *cache) touch(n *node) {
	for ; n != nil; n = n.parent {
		c.order.MoveToBack(n.place)
	}
}

// insert adds a prefix under its parent and returns its node.
func (c *cache) insert(parent *node, prefix Prefix) *node {
	if n := c.nodes[prefix.Hash]; n != nil {
		return n
	}
	n := &node{hash: prefix.Hash, length: prefix.Tokens, own: prefix.Tokens, parent: parent}
	if parent != nil {
		n.own -= parent.length
		parent.children++
	}
	n.place = c.order.PushBack(n)
	c.nodes[n.hash] = n
	c.used += n.own
	return n
}

// evict drops the least recently used prefix that can go; false when none can.
func (c *cache) evict() (*node, bool) {
	for e := c.order.Front(); e != nil; e = e.Next() {
		n := e.Value.(*node)
		if n.children == 0 && n.users == 0 {
			c.drop(n)
			return n, true
		}
	}
	return nil, false
}

func (c *cache) drop(n *node) {
	c.order.Remove(n.place)
	delete(c.nodes, n.hash)
	c.used -= n.own
	if n.parent != nil {
		n.parent.children--
	}
}
