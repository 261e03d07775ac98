use proptest::prelude::*;

use super::*;

fn share(outstanding: Units, used: Units, wanted: Units) -> Share {
    Share {
        outstanding,
        used,
        wanted,
        least: 0,
        grain: 1,
    }
}

fn grants(moves: &[Move]) -> Vec<Units> {
    moves.iter().map(|each| each.grant).collect()
}

fn targets(moves: &[Move]) -> Vec<Units> {
    moves.iter().map(|each| each.target).collect()
}

#[test]
fn a_total_is_divided_equally_up_to_the_caps() {
    assert_eq!(divide(10, &[2, 100, 100]), [2, 4, 4]);
    assert_eq!(divide(100, &[2, 3]), [2, 3]);
    assert_eq!(divide(2, &[1, 1, 1]), [1, 1, 0]);
    assert_eq!(divide(5, &[]), Vec::<Units>::new());
}

#[test]
fn what_nobody_wants_yet_is_spread_ahead_of_demand() {
    let moves = plan(900, &[share(0, 0, 0); 3]);
    assert_eq!(grants(&moves), [300, 300, 300]);
}

#[test]
fn units_move_to_the_demand_but_none_that_are_used() {
    let shares = [share(500, 400, 400), share(500, 100, 100), share(0, 0, 300)];
    let moves = plan(1000, &shares);
    assert_eq!(grants(&moves), [0, 0, 0], "nothing is free yet");
    let targets = targets(&moves);
    assert!(targets[0] >= 400 && targets[1] >= 100, "{targets:?}");
    assert!(targets[0] + targets[1] <= 700, "{targets:?}");
}

#[test]
fn nothing_moves_back_and_forth_once_all_have_what_they_want() {
    for outstanding in [[600, 400], [900, 100], [100, 900]] {
        let wanted = outstanding.map(|held| held / 2);
        let shares = [0, 1].map(|at| share(outstanding[at], wanted[at], wanted[at]));
        let moves = plan(1000, &shares);
        assert_eq!(targets(&moves), outstanding);
        assert_eq!(grants(&moves), [0, 0]);
    }
}

#[test]
fn a_limit_below_what_runs_stops_only_the_excess() {
    let shares = [share(600, 600, 600), share(400, 100, 100)];
    assert_eq!(targets(&plan(800, &shares)), [600, 150]);
    let moves = plan(400, &shares);
    assert_eq!(targets(&moves), [300, 100]);
    assert_eq!(targets(&plan(0, &shares)), [0, 0]);
}

#[test]
fn what_is_kept_of_tasks_that_run_is_whole_tasks() {
    let tasks = |used| Share {
        grain: 4,
        ..share(used, used, used)
    };
    assert_eq!(
        targets(&plan(40, &[tasks(40), tasks(40), tasks(40)])),
        [16, 12, 12]
    );
    assert_eq!(targets(&plan(20, &[tasks(8), tasks(40)])), [8, 12]);
    // Less than a task is left: it is held, and nothing runs on it.
    assert_eq!(targets(&plan(3, &[tasks(8), tasks(40)])), [1, 1]);
}

#[test]
fn two_gangs_that_have_half_of_what_they_need_do_not_wait_for_each_other() {
    let gang = |outstanding| Share {
        outstanding,
        used: 0,
        wanted: 800,
        least: 800,
        grain: 0,
    };
    let moves = plan(1000, &[gang(500), gang(500)]);
    let targets = targets(&moves);
    assert_eq!((targets[0], targets[1]), (500, 200));
    let moves = plan(1000, &[gang(500), gang(200)]);
    assert_eq!(grants(&moves)[0], 300);
}

#[test]
fn a_cell_that_lacks_little_is_not_worth_a_move() {
    let moves = plan(1000, &[share(495, 400, 500), share(505, 500, 500)]);
    assert_eq!(targets(&moves), [495, 505]);
}

prop_compose! {
    fn any_share()(
        used in 0u64..500, held in 0u64..500, waits in 0u64..500, least in 0u64..200,
        grain in 0u64..100,
    ) -> Share {
        Share {
            outstanding: used + held, used, wanted: used + waits, least: least.min(waits), grain,
        }
    }
}

proptest! {
    #[test]
    fn no_more_is_granted_than_is_free(
        limit in 0u64..3000, shares in prop::collection::vec(any_share(), 1..8),
    ) {
        let moves = plan(limit, &shares);
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
    fn repeated_plans_come_to_rest_where_all_that_is_wanted_fits(
        shares in prop::collection::vec(any_share(), 1..8),
    ) {
        let limit: Units = shares.iter().map(|share| share.wanted.max(share.outstanding)).sum();
        let mut shares = shares;
        for _ in 0..20 {
            let moves = plan(limit, &shares);
            for (share, each) in shares.iter_mut().zip(moves) {
                share.outstanding = each.target.max(share.used);
            }
        }
        let rest = plan(limit, &shares);
        for (each, share) in rest.iter().zip(&shares) {
            prop_assert_eq!(each.target, share.outstanding, "still moves");
            prop_assert!(share.outstanding + share.wanted / SHORT + 1 >= share.wanted);
        }
    }
}
