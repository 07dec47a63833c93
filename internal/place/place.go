// Package place says how far VMs stand from one another.
package place

// Distance is how far another VM stands.
type Distance uint8

// The distances, nearest first.
const (
	SameVM Distance = iota
	SameZone
	SameRegion
	OtherRegion
)

// Between gives the distance of two VMs by what they share.
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
