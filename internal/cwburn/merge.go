package cwburn

import (
	"cmp"
	"slices"
)

// MergeReports combines the reports of several instances. Counts are added.
// Percentiles can't be added, so each merged percentile is the largest of any
// instance, an upper bound.
func MergeReports(reports []Report) Report {
	merged := Report{}
	byKey := make(map[[2]string]*SeriesReport)
	for _, r := range reports {
		merged.UptimeSeconds = max(merged.UptimeSeconds, r.UptimeSeconds)
		for _, s := range r.Series {
			key := [2]string{s.Service, s.Region}
			if byKey[key] == nil {
				copied := s
				copied.Windows = slices.Clone(s.Windows)
				copied.Reasons = slices.Clone(s.Reasons)
				byKey[key] = &copied
				continue
			}
			byKey[key].merge(s)
		}
	}
	for _, s := range byKey {
		s.computeBurnRates()
		merged.Series = append(merged.Series, *s)
	}
	slices.SortFunc(merged.Series, func(a, b SeriesReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return merged
}

func (s *SeriesReport) merge(other SeriesReport) {
	for i := range s.Windows {
		s.Windows[i].Add(other.Windows[i].Counts)
	}
	for _, r := range other.Reasons {
		i := slices.IndexFunc(s.Reasons, func(existing ReasonCount) bool { return existing.Reason == r.Reason })
		if i < 0 {
			s.Reasons = append(s.Reasons, r)
			continue
		}
		s.Reasons[i].Count += r.Count
	}
	s.FirstByteP50Millis = max(s.FirstByteP50Millis, other.FirstByteP50Millis)
	s.FirstByteP95Millis = max(s.FirstByteP95Millis, other.FirstByteP95Millis)
	s.FirstByteP99Millis = max(s.FirstByteP99Millis, other.FirstByteP99Millis)
}
