use proptest::prelude::*;

use super::*;

prop_compose! {
    fn any_quota()(cpus in any::<u64>(), gpus in any::<u64>()) -> Quota {
        Quota { cpus, gpus }
    }
}

prop_compose! {
    fn any_position()(
        version in any::<u64>(), granted in any_quota(), returned in any_quota(), used in any_quota(),
        wanted in any_quota(), least in any_quota(), grain in any_quota(),
    ) -> ParticipantReport {
        ParticipantReport { version, account: Account { granted, returned }, used, wanted, first_request: least, largest_task: grain }
    }
}

prop_compose! {
    fn any_grant()(
        version in any::<u64>(), guarantee in any_quota(), granted in any_quota(), target in any_quota(),
        lowered in any::<bool>(),
    ) -> Grant {
        Grant { version, guarantee, granted, target, limit_lowered: lowered }
    }
}

proptest! {
    #[test]
    fn cell_report_and_grants_round_trip_through_encoding(
        position in any_position(), grant in any_grant(), from in "[a-z]{1,8}", team in "[a-z]{1,8}",
    ) {
        let cells = vec!["a".to_owned(), from.clone()];
        let statement = CellReport {
            from: from.clone(),
            cells: cells.clone(),
            positions: vec![(team.clone(), position)],
        };
        let message = proto::CellStatement::from(statement.clone());
        prop_assert_eq!(CellReport::from(message), statement);
        let answer = CellGrants { from, cells, grants: vec![(team, grant)] };
        let message = proto::CellAnswer::from(answer.clone());
        prop_assert_eq!(CellGrants::from(message), answer);
    }
}
