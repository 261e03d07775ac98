use super::*;

/// Whatever the settings: a report in time is not silence, a worker on its way from a deputy to the
/// leader and back keeps its lease, and a cancelled task is gone in time.
#[test]
fn the_times_hold_for_any_rhythm_of_reports() {
    for report_s in [0.5, 1.0, 2.5, 5.0, 6.0, 10.0] {
        for lease_s in [report_s * 3.0, report_s * 5.6, 120.0] {
            for room_s in [2.0, 8.0, 20.0, 90.0] {
                let cancel_s = lease_s + room_s;
                let workers = Workers {
                    report_s,
                    lease_s,
                    cancel_s,
                };
                let times = Times::new(&workers, 2);
                assert!(times.silence > millis(report_s * 1.25), "{workers:?}");
                assert!(times.fresh * 2 <= times.lease, "{workers:?}");
                assert!(times.lease > millis(lease_s * 1.0005), "{workers:?}");
                let last = times.allowance + millis(lease_s * 1.0005);
                assert!(last + 500 < millis(cancel_s), "{workers:?}");
                let life = (times.allowance + EARLY).min(MOST_LIFE);
                assert!(times.deputy_life >= life, "{workers:?}");
            }
        }
    }
}
