package cwcrash

// Trait identifies something that requests may have in common, such as a part of their
// prompts.
type Trait uint64

// Suspect is a trait of a request under which an endpoint ended.
type Suspect struct {
	Trait Trait
	// Name describes the trait to operators.
	Name string
	// IsFirstPart is set for the first part of a prompt, which often all requests of a service
	// share.
	IsFirstPart bool
	// Path is the trait of the path of requests that come again; 0 for other traits.
	Path Trait
}

// PartTrait returns the trait of requests whose prompt has the part.
func PartTrait(id uint64) Trait {
	return Trait(mix(id + partSalt))
}

// partSalt separates the traits of parts from those of other kinds.
const partSalt = 0x9e3779b97f4a7c15

// mix spreads the bits of x over the result, as the finalizer of MurmurHash3 does.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
