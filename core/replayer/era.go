package replayer

import "rosemaryspool.example/core/identifier"

// eraShift is the position of the era in an offset of a stream that goes on over eras of a store, so that
// tokens are ordered by era first.
const eraShift = 32

// OffsetInEra returns the offset, in a stream that goes on over eras of a store, of the record that the store has at an
// offset of its own. It begins with 1 in era zero.
func OffsetInEra(era identifier.Era, stored uint64) identifier.Offset {
	return identifier.Offset(uint64(era)<<eraShift + stored + 1)
}

// StoredOffset is the opposite of OffsetInEra.
func StoredOffset(offset identifier.Offset) uint64 { return uint64(offset)&(1<<eraShift-1) - 1 }
