package platformapi

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// HeaderListAge is the response header with the age of the list in
// milliseconds. It comes with status 304, which has no body.
const HeaderListAge = "Lacewingfork-List-Age-Ms"

// taggedList is a list together with the entity tag of its response.
type taggedList struct {
	tag      string
	snapshot Snapshot
}

// List returns the instance list. It sends the entity tag of the list that it
// has cached, so that an unchanged list is not transferred again: with 5,400
// backend servers it takes over a megabyte. An unchanged list shares its slices
// with the previous result; callers must not modify them.
func (c *Client) List(ctx context.Context) (Snapshot, error) {
	r := request{method: http.MethodGet, path: []string{"v1", "instances"}}
	cached := c.list.Load()
	if cached != nil {
		r.knownTag = cached.tag
	}
	got, err := c.call(ctx, r)
	if err != nil {
		return Snapshot{}, err
	}
	if cached != nil && got.status == http.StatusNotModified {
		return cached.withAge(got.header)
	}
	var s Snapshot
	if err := got.decode(&s); err != nil {
		return Snapshot{}, err
	}
	var tagged *taggedList
	if tag := got.header.Get("ETag"); tag != "" {
		tagged = &taggedList{tag, s}
	}
	c.list.Store(tagged)
	return s, nil
}

// withAge returns the list with the age from the response headers. A response
// without a valid age counts as ErrUnavailable, because the list cannot be dated.
func (l *taggedList) withAge(h http.Header) (Snapshot, error) {
	age, err := strconv.ParseInt(h.Get(HeaderListAge), 10, 64)
	if err != nil || age < 0 {
		return Snapshot{}, errors.Wrapf(ErrUnavailable, "unchanged list has age %q, expected a non-negative number of milliseconds", h.Get(HeaderListAge))
	}
	s := l.snapshot
	s.AgeMillis = age
	return s, nil
}
