//! Conversions between the gRPC messages of cells that share quotas and the types of the event loop.

use crate::{
    coordination::{CellGrants, CellReport},
    quota::{Account, Grant, ParticipantReport, Quota},
};

use super::proto;

fn encode_quota(quota: Quota) -> Option<proto::Quota> {
    Some(proto::Quota {
        cpus: quota.cpus,
        gpus: quota.gpus,
    })
}

fn decode_quota(message: Option<proto::Quota>) -> Quota {
    let message = message.unwrap_or_default();
    Quota {
        cpus: message.cpus,
        gpus: message.gpus,
    }
}

impl From<CellReport> for proto::CellStatement {
    fn from(report: CellReport) -> Self {
        let teams = report.team_reports.into_iter();
        let teams = teams.map(|(team, position)| proto::TeamPosition {
            team,
            version: position.version,
            granted: encode_quota(position.account.granted),
            returned: encode_quota(position.account.returned),
            used: encode_quota(position.used),
            wanted: encode_quota(position.wanted),
            least: encode_quota(position.first_request),
            grain: encode_quota(position.largest_task),
        });
        proto::CellStatement {
            from: report.from,
            cells: report.cells,
            teams: teams.collect(),
        }
    }
}

impl From<proto::CellStatement> for CellReport {
    fn from(message: proto::CellStatement) -> Self {
        let teams = message.teams.into_iter().map(|position| {
            let report = ParticipantReport {
                version: position.version,
                account: Account {
                    granted: decode_quota(position.granted),
                    returned: decode_quota(position.returned),
                },
                used: decode_quota(position.used),
                wanted: decode_quota(position.wanted),
                first_request: decode_quota(position.least),
                largest_task: decode_quota(position.grain),
            };
            (position.team, report)
        });
        CellReport {
            from: message.from,
            cells: message.cells,
            team_reports: teams.collect(),
        }
    }
}

impl From<CellGrants> for proto::CellAnswer {
    fn from(cell_grants: CellGrants) -> Self {
        let teams = cell_grants.grants.into_iter();
        let teams = teams.map(|(team, grant)| proto::TeamGrant {
            team,
            version: grant.version,
            guarantee: encode_quota(grant.guarantee),
            granted: encode_quota(grant.granted),
            target: encode_quota(grant.target),
            lowered: grant.limit_lowered,
        });
        proto::CellAnswer {
            from: cell_grants.from,
            cells: cell_grants.cells,
            teams: teams.collect(),
        }
    }
}

impl From<proto::CellAnswer> for CellGrants {
    fn from(message: proto::CellAnswer) -> Self {
        let teams = message.teams.into_iter().map(|grant| {
            let decoded = Grant {
                version: grant.version,
                guarantee: decode_quota(grant.guarantee),
                granted: decode_quota(grant.granted),
                target: decode_quota(grant.target),
                limit_lowered: grant.lowered,
            };
            (grant.team, decoded)
        });
        CellGrants {
            from: message.from,
            cells: message.cells,
            grants: teams.collect(),
        }
    }
}

#[cfg(test)]
mod tests;
