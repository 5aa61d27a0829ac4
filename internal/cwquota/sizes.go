package cwquota

import "math/bits"

const (
	// sizeClasses is the number of classes of sizes. Each holds those up to twice the class before.
	sizeClasses = 32
	// lightShare is the largest part of the demand of an account, by its amount, that light requests
	// make up.
	lightShare = 1.0 / 3
	// sizesKept is the number of requests after which earlier ones count half.
	sizesKept = 256
)

// sizes is the demand for an account by the size of the requests.
type sizes struct {
	amounts [sizeClasses]float32
	count   int
}

// sizeClass returns the class of an amount.
func sizeClass(amount float64) int {
	return min(bits.Len64(uint64(max(amount, 0))), sizeClasses-1)
}

// add counts a request.
func (s *sizes) add(amount float64) {
	if s.count++; s.count > sizesKept {
		s.count /= 2
		for i := range s.amounts {
			s.amounts[i] /= 2
		}
	}
	s.amounts[sizeClass(amount)] += float32(amount)
}

// hasLight reports whether any requests are light.
func (s *sizes) hasLight() bool {
	for class, a := range s.amounts {
		if a > 0 {
			return s.isLightClass(class)
		}
	}
	return false
}

// isLight reports whether requests of the amount and smaller ones make up a small part of the demand.
func (s *sizes) isLight(amount float64) bool {
	return s.isLightClass(sizeClass(amount))
}

func (s *sizes) isLightClass(class int) bool {
	upTo, total := float32(0), float32(0)
	for i, a := range s.amounts {
		total += a
		if i <= class {
			upTo += a
		}
	}
	return upTo <= lightShare*total
}
