package platform

import (
	"fmt"
	"net/url"
	"strconv"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// Query parameters that name the revision after which a document is wanted. Those that are
// missing are zero.
const (
	queryNumber  = "after"
	queryEra     = "era"
	queryVersion = "version"
)

// SetAfter sets the query parameters of a read of a document that is newer than a revision.
func SetAfter(query url.Values, after fleet.Revision) {
	query.Set(queryNumber, strconv.FormatUint(after.Number, 10))
	if after.Era > 0 {
		query.Set(queryEra, strconv.FormatUint(after.Era, 10))
	}
	if after.Version > 0 {
		query.Set(queryVersion, strconv.FormatUint(after.Version, 10))
	}
}

// ParseAfter returns the revision that SetAfter has set. It fails if a parameter is not a
// number.
func ParseAfter(query url.Values) (fleet.Revision, error) {
	var after fleet.Revision
	for name, field := range map[string]*uint64{queryNumber: &after.Number, queryEra: &after.Era, queryVersion: &after.Version} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fleet.Revision{}, fmt.Errorf("%s %q is not a number", name, text)
		}
		*field = number
	}
	return after, nil
}
