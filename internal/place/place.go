// Package place classifies the network distance between VMs.
package place

// Distance is the network distance to another VM.
type Distance uint8

// The distances, nearest first.
const (
	SameVM Distance = iota
	SameZone
	SameRegion
	OtherRegion
)

// Between returns the distance between two VMs, based on what they share.
func Between(sameVM, sameZone, sameRegion bool) Distance {
	switch {
	case sameVM:
		return SameVM
	case sameZone:
		return SameZone
	case sameRegion:
		return SameRegion
	}
	return OtherRegion
}
