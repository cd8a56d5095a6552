package vengine

import "container/list"

// cache is a tree of prompt prefixes. A node holds the tokens between the end of its
// parent's prefix and the end of its own. A node with children or users is not evicted, so
// a cached prefix is always cached from its first token.
type cache struct {
	nodes map[uint64]*node
	lru   *list.List // of *node, least recently used first
	used  int64      // tokens
}

type node struct {
	hash      uint64
	length    int64 // tokens of the whole prefix
	ownTokens int64 // tokens beyond the parent
	parent    *node
	children  int
	users     int // running sequences that use the prefix
	element   *list.Element
}

func newCache() *cache {
	return &cache{nodes: make(map[uint64]*node), lru: list.New()}
}

// findLongest returns the node of the longest cached prefix, or nil.
func (c *cache) findLongest(prefixes []Prefix) *node {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if n := c.nodes[prefixes[i].Hash]; n != nil {
			return n
		}
	}
	return nil
}

// touch marks a prefix and its parents as most recently used. A parent is moved after its
// child, so that the child is evicted first.
func (c *cache) touch(n *node) {
	for ; n != nil; n = n.parent {
		c.lru.MoveToBack(n.element)
	}
}

// insert adds a prefix below parent if it is not cached, and returns its node.
func (c *cache) insert(parent *node, prefix Prefix) *node {
	if n := c.nodes[prefix.Hash]; n != nil {
		return n
	}
	n := &node{hash: prefix.Hash, length: prefix.Tokens, ownTokens: prefix.Tokens, parent: parent}
	if parent != nil {
		n.ownTokens -= parent.length
		parent.children++
	}
	n.element = c.lru.PushBack(n)
	c.nodes[n.hash] = n
	c.used += n.ownTokens
	return n
}

// evict removes the least recently used prefix without children and users. It returns
// false if there is none.
func (c *cache) evict() (*node, bool) {
	for e := c.lru.Front(); e != nil; e = e.Next() {
		n := e.Value.(*node)
		if n.children == 0 && n.users == 0 {
			c.remove(n)
			return n, true
		}
	}
	return nil, false
}

func (c *cache) remove(n *node) {
	c.lru.Remove(n.element)
	delete(c.nodes, n.hash)
	c.used -= n.ownTokens
	if n.parent != nil {
		n.parent.children--
	}
}
