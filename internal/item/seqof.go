package item

// SeqOf is the number of an item's last change; 0 is none.
func (s *Set) SeqOf(k Key) uint64 {
	if h := s.entries[k]; h != nil {
		return h.seq
	}
	return 0
}
