package fleet

// FencingToken orders the calls to a worker. A worker does nothing for a token lower than
// the highest one that it has received since it started.
type FencingToken uint64

// generationBits leaves 41 bits for the epoch, so that each token is an integer that a
// JSON number represents exactly (below 2^53).
const generationBits = 12

// MaxGeneration is the highest generation of a worker that a token can contain.
const MaxGeneration = 1<<generationBits - 1

// NewFencingToken returns the token of the holder of an epoch for the calls to a
// generation of a worker, from 0 to MaxGeneration. The calls of a later epoch have higher
// tokens than those of an earlier one, whatever their generations.
func NewFencingToken(epoch Epoch, generation int) FencingToken {
	return FencingToken(uint64(epoch)<<generationBits | uint64(generation))
}
