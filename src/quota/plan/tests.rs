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

fn grants(moves: &[Transfer]) -> Vec<Units> {
    moves.iter().map(|each| each.grant).collect()
}

fn targets(moves: &[Transfer]) -> Vec<Units> {
    moves.iter().map(|each| each.target).collect()
}

#[test]
fn total_is_divided_equally_up_to_caps() {
    assert_eq!(divide_with_caps(10, &[2, 100, 100]), [2, 4, 4]);
    assert_eq!(divide_with_caps(100, &[2, 3]), [2, 3]);
    assert_eq!(divide_with_caps(2, &[1, 1, 1]), [1, 1, 0]);
    assert_eq!(divide_with_caps(5, &[]), Vec::<Units>::new());
}

#[test]
fn unwanted_units_are_spread_ahead_of_demand() {
    let moves = plan_transfers(900, &[share(0, 0, 0); 3]);
    assert_eq!(grants(&moves), [300, 300, 300]);
}

#[test]
fn only_unused_units_move_to_demand() {
    let shares = [share(500, 400, 400), share(500, 100, 100), share(0, 0, 300)];
    let moves = plan_transfers(1000, &shares);
    assert_eq!(grants(&moves), [0, 0, 0], "nothing is free yet");
    let targets = targets(&moves);
    assert!(targets[0] >= 400 && targets[1] >= 100, "{targets:?}");
    assert!(targets[0] + targets[1] <= 700, "{targets:?}");
}

#[test]
fn satisfied_cells_cause_no_oscillation() {
    for outstanding in [[600, 400], [900, 100], [100, 900]] {
        let wanted = outstanding.map(|held| held / 2);
        let shares = [0, 1].map(|at| share(outstanding[at], wanted[at], wanted[at]));
        let moves = plan_transfers(1000, &shares);
        assert_eq!(targets(&moves), outstanding);
        assert_eq!(grants(&moves), [0, 0]);
    }
}

#[test]
fn limit_below_usage_stops_only_the_excess() {
    let shares = [share(600, 600, 600), share(400, 100, 100)];
    assert_eq!(targets(&plan_transfers(800, &shares)), [600, 150]);
    let moves = plan_transfers(400, &shares);
    assert_eq!(targets(&moves), [300, 100]);
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
    // Less than a task is left: it is held, and nothing runs on it.
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
    let moves = plan_transfers(1000, &[gang(500), gang(500)]);
    let targets = targets(&moves);
    assert_eq!((targets[0], targets[1]), (500, 200));
    let moves = plan_transfers(1000, &[gang(500), gang(200)]);
    assert_eq!(grants(&moves)[0], 300);
}

#[test]
fn small_shortfall_causes_no_transfer() {
    let moves = plan_transfers(1000, &[share(495, 400, 500), share(505, 500, 500)]);
    assert_eq!(targets(&moves), [495, 505]);
}

prop_compose! {
    fn any_share()(
        used in 0u64..500, held in 0u64..500, waits in 0u64..500, least in 0u64..200,
        grain in 0u64..100,
    ) -> CellShare {
        CellShare {
            outstanding: used + held, used, wanted: used + waits, first_request: least.min(waits), largest_task: grain,
        }
    }
}

proptest! {
    #[test]
    fn grants_never_exceed_free_units(
        limit in 0u64..3000, shares in prop::collection::vec(any_share(), 1..8),
    ) {
        let moves = plan_transfers(limit, &shares);
        let outstanding: Units = shares.iter().map(|share| share.outstanding).sum();
        let granted: Units = grants(&moves).iter().sum();
        prop_assert!(granted <= limit.saturating_sub(outstanding));
        let in_use: Units = shares.iter().map(|share| share.used).sum();
        for (each, share) in moves.iter().zip(&shares) {
            prop_assert!(each.target <= share.outstanding + each.grant);
            // Only a limit below what runs stops anything.
            prop_assert!(in_use > limit || each.target >= share.used.min(share.outstanding));
        }
        if outstanding > limit {
            let left: Units = targets(&moves).iter().sum();
            prop_assert!(left <= limit);
        }
    }

    #[test]
    fn repeated_plans_converge_when_all_demand_fits(
        shares in prop::collection::vec(any_share(), 1..8),
    ) {
        let limit: Units = shares.iter().map(|share| share.wanted.max(share.outstanding)).sum();
        let mut shares = shares;
        for _ in 0..20 {
            let moves = plan_transfers(limit, &shares);
            for (share, each) in shares.iter_mut().zip(moves) {
                share.outstanding = each.target.max(share.used);
            }
        }
        let rest = plan_transfers(limit, &shares);
        for (each, share) in rest.iter().zip(&shares) {
            prop_assert_eq!(each.target, share.outstanding, "still moves");
            prop_assert!(share.outstanding + share.wanted / SHORTFALL_DIVISOR + 1 >= share.wanted);
        }
    }
}
