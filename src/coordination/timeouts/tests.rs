use super::*;

/// For all settings: a worker that sends its heartbeats in time is not unresponsive, a worker redirected
/// from a lease renewer to the leader and back keeps its lease, and a cancelled task stops in time.
#[test]
fn timeouts_hold_for_any_report_interval() {
    for report_s in [0.5, 1.0, 2.5, 5.0, 6.0, 10.0] {
        for lease_s in [report_s * 3.0, report_s * 5.6, 120.0] {
            for cancellation_slack_s in [2.0, 8.0, 20.0, 90.0] {
                let cancel_s = lease_s + cancellation_slack_s;
                let workers = WorkerTimings {
                    report_interval_s: report_s,
                    lease_ttl_s: lease_s,
                    cancellation_bound_s: cancel_s,
                };
                let timeouts = Timeouts::new(&workers, 2);
                assert!(
                    timeouts.heartbeat_timeout > millis(report_s * 1.25),
                    "{workers:?}"
                );
                assert!(
                    timeouts.recent_renewal * 2 <= timeouts.worker_lease,
                    "{workers:?}"
                );
                assert!(
                    timeouts.worker_lease > millis(lease_s * 1.0005),
                    "{workers:?}"
                );
                let last_expiry = timeouts.renewal_allowance + millis(lease_s * 1.0005);
                assert!(last_expiry + 500 < millis(cancel_s), "{workers:?}");
                let min_renewer_lease = (timeouts.renewal_allowance + RENEWER_LEASE_MARGIN_MS)
                    .min(MAX_RENEWER_LEASE_MS);
                assert!(timeouts.renewer_lease >= min_renewer_lease, "{workers:?}");
            }
        }
    }
}
