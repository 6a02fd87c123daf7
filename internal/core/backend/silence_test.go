package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resets of the flows of a server that has left one packet unanswered, or several
// long ago, and against callers that get none while the server leaves all packets unanswered.
func TestSilenceIsPastTheResetTimeoutOnlyWhilePacketsGoUnanswered(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		delivered []time.Duration
		at        time.Duration
		want      bool
	}{
		"no packet":                         {nil, time.Second, false},
		"one packet":                        {[]time.Duration{0}, 500 * ms, false},
		"two packets at once":               {[]time.Duration{0, 99 * ms}, 500 * ms, false},
		"two packets, too soon":             {[]time.Duration{0, 100 * ms}, 399 * ms, false},
		"two packets":                       {[]time.Duration{0, 100 * ms}, 400 * ms, true},
		"two packets, long ago":             {[]time.Duration{0, 100 * ms}, 1101 * ms, false},
		"a packet after a pause":            {[]time.Duration{0, 100 * ms, 1101 * ms}, 1600 * ms, false},
		"two packets after a pause":         {[]time.Duration{0, 100 * ms, 1101 * ms, 1201 * ms}, 1501 * ms, true},
		"packets without a pause for long":  {[]time.Duration{0, 900 * ms, 1800 * ms, 2700 * ms}, 3600 * ms, true},
		"the last of them before the pause": {[]time.Duration{0, 900 * ms, 1800 * ms, 2700 * ms}, 3701 * ms, false},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
			var silence Silence
			for _, after := range test.delivered {
				silence.Record(start.Add(after))
			}
			require.Equal(t, test.want, silence.IsPastResetTimeout(start.Add(test.at)))
		})
	}
}
