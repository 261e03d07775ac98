use proptest::prelude::*;

use super::*;

fn share(outstanding: Units, used: Units, wanted: Units) -> CellShare {
    CellShare {
        outstanding,
        used,
        wanted,
        first_request: 0,
        largest_task: 1,
    }
}

fn grants(transfers: &[Transfer]) -> Vec<Units> {
    transfers.iter().map(|transfer| transfer.grant).collect()
}

fn targets(transfers: &[Transfer]) -> Vec<Units> {
    transfers.iter().map(|transfer| transfer.target).collect()
}

#[test]
fn total_is_divided_equally_up_to_caps() {
    assert_eq!(divide_with_caps(10, &[2, 100, 100]), [2, 4, 4]);
    assert_eq!(divide_with_caps(100, &[2, 3]), [2, 3]);
    assert_eq!(divide_with_caps(2, &[1, 1, 1]), [1, 1, 0]);
    assert_eq!(divide_with_caps(5, &[]), Vec::<Units>::new());
}

#[test]
fn spare_units_are_divided_ahead_of_demand() {
    let transfers = plan_transfers(900, &[share(0, 0, 0); 3]);
    assert_eq!(grants(&transfers), [300, 300, 300]);
}

#[test]
fn only_unused_units_are_reclaimed_for_demand() {
    let shares = [share(500, 400, 400), share(500, 100, 100), share(0, 0, 300)];
    let transfers = plan_transfers(1000, &shares);
    assert_eq!(grants(&transfers), [0, 0, 0], "nothing is free yet");
    let targets = targets(&transfers);
    assert!(targets[0] >= 400 && targets[1] >= 100, "{targets:?}");
    assert!(targets[0] + targets[1] <= 700, "{targets:?}");
}

#[test]
fn satisfied_cells_cause_no_oscillation() {
    for outstanding in [[600, 400], [900, 100], [100, 900]] {
        let used = outstanding.map(|units| units / 2);
        let shares = [0, 1].map(|cell| share(outstanding[cell], used[cell], used[cell]));
        let transfers = plan_transfers(1000, &shares);
        assert_eq!(targets(&transfers), outstanding);
        assert_eq!(grants(&transfers), [0, 0]);
    }
}

#[test]
fn limit_below_usage_stops_only_the_excess() {
    let shares = [share(600, 600, 600), share(400, 100, 100)];
    assert_eq!(targets(&plan_transfers(800, &shares)), [600, 150]);
    let transfers = plan_transfers(400, &shares);
    assert_eq!(targets(&transfers), [300, 100]);
    assert_eq!(targets(&plan_transfers(0, &shares)), [0, 0]);
}

#[test]
fn kept_units_are_multiples_of_whole_tasks() {
    let tasks = |used| CellShare {
        largest_task: 4,
        ..share(used, used, used)
    };
    assert_eq!(
        targets(&plan_transfers(40, &[tasks(40), tasks(40), tasks(40)])),
        [16, 12, 12]
    );
    assert_eq!(
        targets(&plan_transfers(20, &[tasks(8), tasks(40)])),
        [8, 12]
    );
    // Each cell keeps less than a task needs: it holds the units, but runs nothing on them.
    assert_eq!(targets(&plan_transfers(3, &[tasks(8), tasks(40)])), [1, 1]);
}

#[test]
fn two_half_funded_gangs_do_not_deadlock() {
    let gang = |outstanding| CellShare {
        outstanding,
        used: 0,
        wanted: 800,
        first_request: 800,
        largest_task: 0,
    };
    let transfers = plan_transfers(1000, &[gang(500), gang(500)]);
    let targets = targets(&transfers);
    assert_eq!((targets[0], targets[1]), (500, 200));
    let transfers = plan_transfers(1000, &[gang(500), gang(200)]);
    assert_eq!(grants(&transfers)[0], 300);
}

#[test]
fn small_shortfall_causes_no_transfer() {
    let transfers = plan_transfers(1000, &[share(495, 400, 500), share(505, 500, 500)]);
    assert_eq!(targets(&transfers), [495, 505]);
}

prop_compose! {
    fn any_share()(
        used in 0u64..500, unused in 0u64..500, waiting in 0u64..500, request in 0u64..200,
        task_units in 0u64..100,
    ) -> CellShare {
        CellShare {
            outstanding: used + unused, used, wanted: used + waiting,
            first_request: request.min(waiting), largest_task: task_units,
        }
    }
}

proptest! {
    #[test]
    fn grants_never_exceed_free_units(
        limit in 0u64..3000, shares in prop::collection::vec(any_share(), 1..8),
    ) {
        let transfers = plan_transfers(limit, &shares);
        let outstanding: Units = shares.iter().map(|share| share.outstanding).sum();
        let granted: Units = grants(&transfers).iter().sum();
        prop_assert!(granted <= limit.saturating_sub(outstanding));
        let total_used: Units = shares.iter().map(|share| share.used).sum();
        for (transfer, share) in transfers.iter().zip(&shares) {
            prop_assert!(transfer.target <= share.outstanding + transfer.grant);
            // Running tasks are preempted only when the use exceeds the limit.
            prop_assert!(total_used > limit || transfer.target >= share.used.min(share.outstanding));
        }
        if outstanding > limit {
            let kept: Units = targets(&transfers).iter().sum();
            prop_assert!(kept <= limit);
        }
    }

    #[test]
    fn repeated_plans_converge_when_all_demand_fits(
        shares in prop::collection::vec(any_share(), 1..8),
    ) {
        let limit: Units = shares.iter().map(|share| share.wanted.max(share.outstanding)).sum();
        let mut shares = shares;
        for _ in 0..20 {
            let transfers = plan_transfers(limit, &shares);
            for (share, transfer) in shares.iter_mut().zip(transfers) {
                share.outstanding = transfer.target.max(share.used);
            }
        }
        let last = plan_transfers(limit, &shares);
        for (transfer, share) in last.iter().zip(&shares) {
            prop_assert_eq!(transfer.target, share.outstanding, "units are still reclaimed or granted");
            prop_assert!(share.outstanding + share.wanted / SHORTFALL_DIVISOR + 1 >= share.wanted);
        }
    }
}
