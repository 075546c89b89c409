package item

// SeqOf returns the sequence number of an item's last change, or 0 if there is none.
func (s *Set) SeqOf(k Key) uint64 {
	if h := s.entries[k]; h != nil {
		return h.seq
	}
	return 0
}
