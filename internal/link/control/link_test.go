package control

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishmast/radishmast/internal/core/control"
)

// counts is a Counter for tests.
type counts struct {
	mu     sync.Mutex
	values map[string]int
}

func (c *counts) Add(name string, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[name] += delta
}

// A message must match one of the receiver's keys, the current one or the old one during a
// rotation. Otherwise the link must end with ErrAuthentication and count the message in
// drop_authentication.
func TestLinkRejectsMessagesWithoutFleetKey(t *testing.T) {
	old, current := "old key of the fleet", "new key of the fleet"
	tests := []struct {
		name     string
		sender   []string
		accepted bool
	}{
		{"current key", []string{current}, true},
		{"old key during rotation", []string{old}, true},
		{"foreign key", []string{"key of another fleet"}, false},
		{"no key", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan *control.Message, 1)
			ended := make(chan error, 1)
			counter := &counts{values: make(map[string]int)}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				link, err := Accept(w, r, NewKeys([]string{current, old}), counter)
				if err == nil {
					err = link.Run(r.Context(), func(m *control.Message) { received <- m })
				}
				ended <- err
			}))
			defer server.Close()
			endpoint := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			link, err := Dial(t.Context(), endpoint, http.DefaultClient, NewKeys(test.sender), &counts{values: make(map[string]int)})
			require.NoError(t, err)
			go func() { _ = link.Run(t.Context(), func(*control.Message) {}) }()
			data, err := Encode(&control.Message{Summary: &control.Summary{ID: 7}})
			require.NoError(t, err)
			require.NoError(t, link.Send(data))
			if test.accepted {
				require.EqualValues(t, 7, (<-received).Summary.ID)
				link.Close()
				require.Error(t, <-ended)
				return
			}
			require.ErrorIs(t, <-ended, ErrAuthentication)
			require.Equal(t, 1, counter.values["drop_authentication"])
		})
	}
}
