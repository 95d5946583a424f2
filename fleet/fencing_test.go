package fleet

import "testing"

// Guards against calls of a superseded holder, or to a former incarnation of a worker, that
// are executed because their token is not lower.
func TestFencingTokensAreOrdered(t *testing.T) {
	const highestEpoch = 1<<41 - 1
	tokens := []FencingToken{
		NewFencingToken(1, 0), NewFencingToken(1, 1), NewFencingToken(1, MaxGeneration), NewFencingToken(2, 0),
		NewFencingToken(highestEpoch-1, MaxGeneration), NewFencingToken(highestEpoch, 0), NewFencingToken(highestEpoch, MaxGeneration),
	}
	for i, token := range tokens {
		if i > 0 && token <= tokens[i-1] {
			t.Errorf("token %d is %d, not higher than %d", i, token, tokens[i-1])
		}
		if uint64(float64(token)) != uint64(token) {
			t.Errorf("token %d is not exact as a JSON number", token)
		}
	}
}
