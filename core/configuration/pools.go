package configuration

import "sort"

// Pools returns all pools in name order.
func (s *Snapshot) Pools() []Pool {
	list := make([]Pool, 0, len(s.pools))
	for _, pool := range s.pools {
		list = append(list, pool)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
