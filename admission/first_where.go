package admission

// FirstWhere returns the request that is next to get a slot among those for which isEligible
// reports true, nil if there is none. Not all requests may use the same targets.
func (q *Queue) FirstWhere(isEligible func(*Request) bool) *Request {
	var first *Request
	for _, r := range q.waiting {
		if (first == nil || isBefore(r, first)) && isEligible(r) {
			first = r
		}
	}
	return first
}
