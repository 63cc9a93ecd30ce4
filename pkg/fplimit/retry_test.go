package fplimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryBudgetOverFleet checks that the retries of all hosts stay within the rule in every
// sliding window, with uneven traffic and every host retrying as often as its budget allows.
func TestRetryBudgetOverFleet(t *testing.T) {
	rule := RetryRule{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	for name, hosts := range map[string]int{"one host": 1, "9 hosts": 9, "83 hosts": 83} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(hosts)))
			windows := make([]RetryWindow, hosts)
			type event struct {
				at    time.Duration
				retry bool
			}
			var events []event
			for now := time.Minute; now < time.Minute+40*time.Second; now += 20 * time.Millisecond {
				h := random.IntN(hosts)
				if now < time.Minute+15*time.Second {
					windows[h].RecordRequest(rule, now)
					events = append(events, event{at: now})
				}
				for windows[h].TakeRetry(rule, hosts, now) {
					events = append(events, event{at: now, retry: true})
				}
			}
			is := is.New(t)
			for _, last := range events {
				requests, previous, shifted, retries := 0, 0, 0, 0
				for _, e := range events {
					age := last.at - e.at
					inWindow := age >= 0 && age < rule.Window
					switch {
					case e.retry && inWindow:
						retries++
					case e.retry:
					case inWindow:
						requests++
					case age >= rule.Window && age < 2*rule.Window:
						previous++
					}
					if !e.retry && age >= rule.Window/2 && age < 3*rule.Window/2 {
						shifted++
					}
				}
				is.True(float64(retries) <= rule.Ratio*float64(max(requests, previous, shifted))+float64(rule.Slack))
			}
		})
	}
}
