//! How the units of a limit are divided among cells.
//!
//! Running tasks come first, then the units that the first waiting job of each cell needs to start (so that two gangs
//! that hold half of the units that they need don't wait for each other), then other waiting work, in equal parts up to
//! each cell's demand. The rest is divided equally, ahead of demand, so that new work need not wait for a round trip.
//!
//! Units are reclaimed from a cell only while another cell is short of its demand and the limit has not enough free
//! units, or when the limit was lowered. Only unused units are reclaimed, unless the use itself exceeds the limit.

use crate::quota::Units;

/// A cell is short when it lacks at least its allocation divided by this. A smaller shortfall matters only if the cell
/// can't start its first waiting job.
const SHORTFALL_DIVISOR: Units = 16;
/// Spare units are granted only to a cell that lacks more than its share divided by this.
const SPARE_GRANT_DIVISOR: Units = 8;

/// The units of a team's limit that one cell holds, uses and requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellShare {
    /// The units that the cell may hold: granted and not returned.
    pub outstanding: Units,
    /// The units reserved by the team's tasks that may be running.
    pub used: Units,
    /// The use, the waiting work, and a margin for work to come.
    pub wanted: Units,
    /// The units that the first waiting job needs to start: of one task, or of all tasks of a gang together.
    pub first_request: Units,
    /// The units that the largest running task reserves.
    pub largest_task: Units,
}

/// The planned change of the units that a cell holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Units to grant to the cell now.
    pub grant: Units,
    /// The units that the cell should keep, including the grant; it returns unused units above this.
    pub target: Units,
}

/// Divides a total equally, with no part above its cap.
pub fn divide_with_caps(total: Units, caps: &[Units]) -> Vec<Units> {
    let mut parts = vec![0; caps.len()];
    let mut remaining = total;
    loop {
        let below_cap: Vec<usize> = (0..caps.len())
            .filter(|index| parts[*index] < caps[*index])
            .collect();
        let equal_part = match remaining.checked_div(below_cap.len() as Units) {
            None => return parts,
            // An indivisible remainder goes to the first parts.
            Some(equal_part) => equal_part.max(1),
        };
        for index in below_cap {
            let increase = equal_part.min(caps[index] - parts[index]).min(remaining);
            parts[index] += increase;
            remaining -= increase;
        }
        if remaining == 0 {
            return parts;
        }
    }
}

/// The units that each cell keeps when the use exceeds the limit: equal parts, rounded to whole tasks, so that no more tasks have
/// to be preempted than the limit requires.
fn divide_among_running(limit: Units, shares: &[CellShare]) -> Vec<Units> {
    let used: Vec<Units> = shares.iter().map(|share| share.used).collect();
    let mut parts = divide_with_caps(limit, &used);
    for (part, share) in parts.iter_mut().zip(shares) {
        if *part < share.used {
            *part -= part.checked_rem(share.largest_task).unwrap_or(0);
        }
    }
    let mut remaining = limit - parts.iter().sum::<Units>();
    loop {
        let mut has_increased = false;
        for (part, share) in parts.iter_mut().zip(shares) {
            if share.largest_task > 0
                && share.largest_task <= remaining
                && *part + share.largest_task <= share.used
            {
                *part += share.largest_task;
                remaining -= share.largest_task;
                has_increased = true;
            }
        }
        if !has_increased {
            return parts;
        }
    }
}

/// How much of the limit each cell is to have for its use and its waiting work.
fn compute_allocations(limit: Units, shares: &[CellShare]) -> Vec<Units> {
    let used: Vec<Units> = shares.iter().map(|share| share.used).collect();
    let total_used: Units = used.iter().sum();
    if total_used >= limit {
        return divide_among_running(limit, shares);
    }
    let (mut parts, mut remaining) = (used, limit - total_used);
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|index| (shares[*index].used, *index));
    for index in order {
        let request = shares[index].first_request;
        if request <= remaining && parts[index] + request <= shares[index].wanted {
            parts[index] += request;
            remaining -= request;
        }
    }
    let unmet = shares.iter().zip(&parts);
    let unmet: Vec<Units> = unmet
        .map(|(share, part)| share.wanted.saturating_sub(*part))
        .collect();
    let increases = divide_with_caps(remaining, &unmet);
    parts
        .iter()
        .zip(increases)
        .map(|(part, increase)| part + increase)
        .collect()
}

/// Plans the transfers of all cells for one limit. The grants together never exceed the free units.
pub fn plan_transfers(limit: Units, shares: &[CellShare]) -> Vec<Transfer> {
    let allocations = compute_allocations(limit, shares);
    let spare = limit - allocations.iter().sum::<Units>();
    let spare_part = spare.checked_div(shares.len() as Units).unwrap_or(0);
    let ideals: Vec<Units> = allocations.iter().map(|part| part + spare_part).collect();
    let outstanding: Units = shares.iter().map(|share| share.outstanding).sum();
    let mut free = limit.saturating_sub(outstanding);
    let shortfalls: Vec<Units> = shares
        .iter()
        .zip(&allocations)
        .map(|(share, allocation)| significant_shortfall(share, *allocation))
        .collect();
    let exceeds_limit = outstanding > limit;
    let must_reclaim = shortfalls.iter().sum::<Units>() > free;
    let target = |share: &CellShare, ideal: Units| {
        let kept = match (exceeds_limit, must_reclaim) {
            (true, _) => ideal,
            (false, true) => ideal.max(share.used),
            (false, false) => share.outstanding,
        };
        kept.min(share.outstanding)
    };
    let mut planned: Vec<Transfer> = shares
        .iter()
        .zip(&ideals)
        .map(|(share, ideal)| Transfer {
            grant: 0,
            target: target(share, *ideal),
        })
        .collect();
    for (transfer, grant) in planned.iter_mut().zip(divide_with_caps(free, &shortfalls)) {
        transfer.grant = grant;
        transfer.target += grant;
        free -= grant;
    }
    if !must_reclaim {
        for ((transfer, share), ideal) in planned.iter_mut().zip(shares).zip(&ideals) {
            let lacking = ideal.saturating_sub(share.outstanding + transfer.grant);
            if lacking > ideal / SPARE_GRANT_DIVISOR {
                let grant = lacking.min(free);
                transfer.grant += grant;
                transfer.target += grant;
                free -= grant;
            }
        }
    }
    planned
}

/// How much a cell lacks of its allocation, or 0 if that is too little for a transfer.
fn significant_shortfall(share: &CellShare, allocation: Units) -> Units {
    let lacking = allocation.saturating_sub(share.outstanding);
    let to_start_next = share.used + share.first_request;
    let is_significant =
        lacking >= allocation / SHORTFALL_DIVISOR || share.outstanding < to_start_next;
    if is_significant { lacking } else { 0 }
}

#[cfg(test)]
mod tests;
