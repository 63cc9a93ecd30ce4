package fpgateway

import "context"

// applyReloads applies reloaded settings. Addresses, the host's name and its place keep their
// initial values.
func (g *Gateway) applyReloads(ctx context.Context) error {
	for {
		select {
		case r := <-g.reloads:
			if r.Err != nil {
				g.log("settings not reloaded", "Error", r.Err.Error())
				continue
			}
			next := g.settings().WithReloaded(r.Settings)
			g.activeSettings.Store(&next)
			g.log("settings reloaded", "Revoke", next.Freshness.Revoke.String(), "Apply", next.Freshness.Apply.String(),
				"RetryRatio", next.RetryBudget.Ratio, "RetrySlack", next.RetryBudget.Slack, "Grace", next.GracePeriod.String())
		case <-ctx.Done():
			return nil
		}
	}
}
