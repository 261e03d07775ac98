use proptest::prelude::*;

use super::*;

prop_compose! {
    fn any_quota()(cpus in any::<u64>(), gpus in any::<u64>()) -> Quota {
        Quota { cpus, gpus }
    }
}

prop_compose! {
    fn any_participant_report()(
        version in any::<u64>(), granted in any_quota(), returned in any_quota(), used in any_quota(),
        wanted in any_quota(), first_request in any_quota(), largest_task in any_quota(),
    ) -> ParticipantReport {
        ParticipantReport { version, account: Account { granted, returned }, used, wanted, first_request, largest_task }
    }
}

prop_compose! {
    fn any_grant()(
        version in any::<u64>(), guarantee in any_quota(), granted in any_quota(), target in any_quota(),
        limit_lowered in any::<bool>(),
    ) -> Grant {
        Grant { version, guarantee, granted, target, limit_lowered }
    }
}

proptest! {
    #[test]
    fn cell_report_and_grants_round_trip_through_encoding(
        position in any_participant_report(), grant in any_grant(), from in "[a-z]{1,8}", team in "[a-z]{1,8}",
    ) {
        let cells = vec!["a".to_owned(), from.clone()];
        let report = CellReport {
            from: from.clone(),
            cells: cells.clone(),
            team_reports: vec![(team.clone(), position)],
        };
        let message = proto::CellStatement::from(report.clone());
        prop_assert_eq!(CellReport::from(message), report);
        let cell_grants = CellGrants { from, cells, grants: vec![(team, grant)] };
        let message = proto::CellAnswer::from(cell_grants.clone());
        prop_assert_eq!(CellGrants::from(message), cell_grants);
    }
}
