package caller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/outcome"
)

// failingTransport is a transport that never connects.
type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// Guards against the reason deadline-cannot-be-met when in fact nothing listens. It
// replaced the reason of the previous attempt when the pause before the last one
// used up the deadline, as happened on a busy machine (CI,
// TestOtherAddressesAreTried).
func TestReasonIsKeptWhenBackoffUsesUpTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Settings{Addresses: []string{"127.0.0.1:1"}})
		if err != nil {
			t.Fatal(err)
		}
		c.http.Transport = failingTransport{}
		const attempts, step = 4000, 10 * time.Microsecond // some pauses end within the last millisecond
		for n := range attempts {
			_, err := c.Do(t.Context(), Request{Service: "a", Operation: "b", Idempotent: true, Deadline: 20*time.Millisecond + time.Duration(n)*step})
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != outcome.ConnectFailed {
				t.Fatalf("got error %v at deadline step %d, want a RefusedError with reason %s", err, n, outcome.ConnectFailed)
			}
		}
	})
}
