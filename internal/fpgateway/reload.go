package fpgateway

import "context"

// reload puts new settings in force. Addresses, and the host's name and place,
// stay as they were at the start.
func (g *Gateway) reload(ctx context.Context) error {
	for {
		select {
		case r := <-g.reloads:
			if r.Err != nil {
				g.log("settings not reloaded", "Error", r.Err.Error())
				continue
			}
			next := g.settings().WithReloaded(r.Settings)
			g.current.Store(&next)
			g.log("settings reloaded", "Revoke", next.Fresh.Revoke.String(), "Apply", next.Fresh.Apply.String(),
				"RetryRatio", next.Retry.Ratio, "RetrySlack", next.Retry.Slack, "Grace", next.Grace.String())
		case <-ctx.Done():
			return nil
		}
	}
}
