package allocator

// shares divides the slots of one server into baseline shares. The slots of
// all servers of a group form one sequence that is dealt to the holders in
// turn; offset is the position of the server's first slot in it. So remainders
// spread evenly and every holder gets a slot of the group as long as the group
// has as many slots as holders.
type shares struct {
	slots   int
	offset  int
	holders int
}

// baseline returns the share of the holder with the given index.
func (s shares) baseline(index int) int {
	if s.holders == 0 || index < 0 {
		return 0
	}
	share := s.slots / s.holders
	distance := ((index-s.offset)%s.holders + s.holders) % s.holders
	if distance < s.slots%s.holders {
		share++
	}
	return share
}

// reserved returns 1 if the holder's first slot of the group is on this
// server. That slot stays with the holder even when others want more.
func (s shares) reserved(index int) int {
	if index >= s.offset && index < s.offset+s.slots {
		return 1
	}
	return 0
}
