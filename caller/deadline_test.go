package caller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/decision/outcome"
)

// failingTransport is a transport that never gets a connection.
type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("connection refused")
}

// Guards against a reason that says the deadline was too short, although nobody
// listens: the pause before the last attempt had taken the rest of the time, as
// it may on a busy machine (CI, TestOtherAddressesAreTried).
func TestReasonIsKeptWhenBackoffUsesUpTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Settings{Addresses: []string{"127.0.0.1:1"}})
		if err != nil {
			t.Fatal(err)
		}
		c.http.Transport = failingTransport{}
		const tries, step = 4000, 10 * time.Microsecond // some pauses end within the last millisecond
		for n := range tries {
			_, err := c.Do(t.Context(), Request{Service: "a", Operation: "b", Idempotent: true, Deadline: 20*time.Millisecond + time.Duration(n)*step})
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != outcome.ConnectFailed {
				t.Fatalf("deadline %d: %v", n, err)
			}
		}
	})
}
