package fleet

import (
	"net"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxHostBytes is the length of the longest host name of the DNS.
const maxHostBytes = 253

// errAddress says what an address must be.
var errAddress = errors.New("host:port with an IP address or a host name, and a port of 1 to 65535")

// CheckAddress returns an error that says what was expected unless text is an
// address to which calls can be sent: an IP address or a host name, and a port
// in decimal digits.
func CheckAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || !validPort(port) || !validHost(host) {
		return errAddress
	}
	return nil
}

func validPort(text string) bool {
	n, err := strconv.ParseUint(text, 10, 16)
	return err == nil && n > 0
}

func validHost(text string) bool {
	if _, err := netip.ParseAddr(text); err == nil {
		return !strings.Contains(text, "%") // the zone of an IPv6 address has a meaning on one machine only
	}
	return text != "" && len(text) <= maxHostBytes && !strings.ContainsFunc(text, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		return !letter && !digit && r != '-' && r != '.' && r != '_'
	})
}
