package allocator

// shares divides the slots of one server into baseline shares. The slots of all servers
// of a group form one sequence, which is assigned to the holders in round-robin order;
// offset is the position of the server's first slot in it. This spreads the remainders
// evenly, and every holder gets a slot of the group if the group has at least as many
// slots as holders.
type shares struct {
	slots   int
	offset  int
	holders int
}

// baseline returns the baseline share of the holder with the given index, or 0 for a
// negative index.
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

// reserved returns 1 if the first slot of the group that the holder with the given index
// gets is on this server, else 0. The holder keeps that slot even if others want more.
func (s shares) reserved(index int) int {
	if index >= s.offset && index < s.offset+s.slots {
		return 1
	}
	return 0
}
