package fleet

import "testing"

// Guards against calls to an address that can never be reached: each of them
// fails, and a takeover waits for its server.
func TestCheckAddress(t *testing.T) {
	for _, address := range []string{"10.1.64.26:8743", "10.1.64.26:1", "10.1.64.26:65535", "[fd00::1]:80", "server-7.accra_1.example:8743"} {
		if err := CheckAddress(address); err != nil {
			t.Errorf("%q: got %v, want nil", address, err)
		}
	}
	for _, address := range []string{
		"", ":", "10.1.64.26", "10.1.64.26:", ":8743", "10.1.64.26:0", "10.1.64.26:65536", "10.1.64.26:99999", "10.1.64.26:-1",
		"10.1.64.26:+1", "10.1.64.26:http", "10.1.64.26:8743/x", "10.1.64.26/x:8743", "a@10.1.64.26:8743", "fd00::1:80",
		"[fe80::1%eth0]:80", "10.1.64.26\n:8743", "h\u00f6st:1", " host:1", "99999999999999999999:99999999999999999999",
	} {
		if CheckAddress(address) == nil {
			t.Errorf("%q: got nil, want an error", address)
		}
	}
}
