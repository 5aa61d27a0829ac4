package cwcrash

// mostUrgent holds the most urgent of the records that were added, in order: those next to a block
// first, and of equal ones those that were told least. The cost of a record that is not among them
// does not depend on their number.
type mostUrgent struct {
	limit   int
	records []*record
	// priorities are those of the records.
	priorities []int
}

func newMostUrgent(limit int) *mostUrgent {
	return &mostUrgent{limit: limit, records: make([]*record, 0, limit+1), priorities: make([]int, 0, limit+1)}
}

// add adds a record if it is urgent enough.
func (m *mostUrgent) add(r *record, isBlocked bool) {
	priority := r.priority(isBlocked)
	i := len(m.records)
	if i == m.limit && !m.isBefore(priority, r, i-1) {
		return
	}
	for i > 0 && m.isBefore(priority, r, i-1) {
		i--
	}
	m.records, m.priorities = append(m.records, nil), append(m.priorities, 0)
	copy(m.records[i+1:], m.records[i:])
	copy(m.priorities[i+1:], m.priorities[i:])
	m.records[i], m.priorities[i] = r, priority
	if len(m.records) > m.limit {
		m.records, m.priorities = m.records[:m.limit], m.priorities[:m.limit]
	}
}

// isBefore reports whether a record comes before the ith one.
func (m *mostUrgent) isBefore(priority int, r *record, i int) bool {
	if i < 0 {
		return false
	}
	if priority != m.priorities[i] {
		return priority > m.priorities[i]
	}
	return r.reports < m.records[i].reports
}

// priority returns how near the record is to a block: the number of ends beyond the required ones.
func (r *record) priority(isBlocked bool) int {
	if isBlocked || len(r.Ends) == 0 {
		// Without ends the record is that of a lifted block.
		return maxEnds
	}
	return len(r.Ends) - r.requiredEnds()
}
