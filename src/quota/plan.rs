//! How the units of a limit are divided among cells.
//!
//! What runs comes first, then what the first waiting task of each cell needs at once (so that two gangs which each
//! have half of what they need don't wait for each other), then what waits, in equal parts up to what each wants. What
//! is left over is divided equally, ahead of demand, so that new work need not wait for a round trip.
//!
//! Units move from one cell to another only while a cell is short of what it wants and the limit has nothing free, or
//! when the limit was lowered; then only what is not used moves, unless what runs is itself above the limit.

use crate::quota::Units;

/// A cell that wants this part more than it holds, as a divisor, is short.
const SHORTFALL_DIVISOR: Units = 16;
/// Spare units are handed out only where this part is missing, as a divisor.
const SPARE_GRANT_DIVISOR: Units = 8;

/// One cell's part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CellShare {
    /// What it may hold.
    pub outstanding: Units,
    /// What may be running.
    pub used: Units,
    /// That, what waits, and a margin.
    pub wanted: Units,
    /// What its first waiting work needs at once.
    pub first_request: Units,
    /// What its largest running task takes.
    pub largest_task: Units,
}

/// What is to become of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// More that it gets now.
    pub grant: Units,
    /// What it is to come down to.
    pub target: Units,
}

/// Divides a total equally, up to each one's cap.
pub fn divide_with_caps(total: Units, caps: &[Units]) -> Vec<Units> {
    let mut parts = vec![0; caps.len()];
    let mut rest = total;
    loop {
        let open: Vec<usize> = (0..caps.len())
            .filter(|at| parts[*at] < caps[*at])
            .collect();
        let each = match rest.checked_div(open.len() as Units) {
            None => return parts,
            // What can't be divided goes to the first ones.
            Some(each) => each.max(1),
        };
        for at in open {
            let gain = each.min(caps[at] - parts[at]).min(rest);
            parts[at] += gain;
            rest -= gain;
        }
        if rest == 0 {
            return parts;
        }
    }
}

/// What each cell keeps of what runs above the limit: equal parts, in whole tasks, so that no more has to stop than
/// the limit asks for.
fn divide_among_running(limit: Units, shares: &[CellShare]) -> Vec<Units> {
    let used: Vec<Units> = shares.iter().map(|share| share.used).collect();
    let mut parts = divide_with_caps(limit, &used);
    for (part, share) in parts.iter_mut().zip(shares) {
        if *part < share.used {
            *part -= part.checked_rem(share.largest_task).unwrap_or(0);
        }
    }
    let mut rest = limit - parts.iter().sum::<Units>();
    loop {
        let mut given = false;
        for (part, share) in parts.iter_mut().zip(shares) {
            if share.largest_task > 0
                && share.largest_task <= rest
                && *part + share.largest_task <= share.used
            {
                *part += share.largest_task;
                rest -= share.largest_task;
                given = true;
            }
        }
        if !given {
            return parts;
        }
    }
}

/// What each cell should have of what is wanted.
fn compute_allocations(limit: Units, shares: &[CellShare]) -> Vec<Units> {
    let used: Vec<Units> = shares.iter().map(|share| share.used).collect();
    let in_use: Units = used.iter().sum();
    if in_use >= limit {
        return divide_among_running(limit, shares);
    }
    let (mut parts, mut rest) = (used, limit - in_use);
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|at| (shares[*at].used, *at));
    for at in order {
        let least = shares[at].first_request;
        if least <= rest && parts[at] + least <= shares[at].wanted {
            parts[at] += least;
            rest -= least;
        }
    }
    let missing = shares.iter().zip(&parts);
    let missing: Vec<Units> = missing
        .map(|(share, part)| share.wanted.saturating_sub(*part))
        .collect();
    let more = divide_with_caps(rest, &missing);
    parts
        .iter()
        .zip(more)
        .map(|(part, more)| part + more)
        .collect()
}

/// Plans moves for all cells of one limit. What is granted never exceeds what is free.
pub fn plan_transfers(limit: Units, shares: &[CellShare]) -> Vec<Transfer> {
    let fill = compute_allocations(limit, shares);
    let spare = limit - fill.iter().sum::<Units>();
    let each = spare.checked_div(shares.len() as Units).unwrap_or(0);
    let ideal: Vec<Units> = fill.iter().map(|part| part + each).collect();
    let outstanding: Units = shares.iter().map(|share| share.outstanding).sum();
    let mut free = limit.saturating_sub(outstanding);
    let missing: Vec<Units> = shares
        .iter()
        .zip(&fill)
        .map(|(share, fill)| worthwhile_shortfall(share, *fill))
        .collect();
    let lowered = outstanding > limit;
    let moves = missing.iter().sum::<Units>() > free;
    let target = |share: &CellShare, ideal: Units| {
        let least = match (lowered, moves) {
            (true, _) => ideal,
            (false, true) => ideal.max(share.used),
            (false, false) => share.outstanding,
        };
        least.min(share.outstanding)
    };
    let mut planned: Vec<Transfer> = shares
        .iter()
        .zip(&ideal)
        .map(|(share, ideal)| Transfer {
            grant: 0,
            target: target(share, *ideal),
        })
        .collect();
    for (each, grant) in planned.iter_mut().zip(divide_with_caps(free, &missing)) {
        each.grant = grant;
        each.target += grant;
        free -= grant;
    }
    if !moves {
        for ((each, share), ideal) in planned.iter_mut().zip(shares).zip(&ideal) {
            let lacks = ideal.saturating_sub(share.outstanding + each.grant);
            if lacks > ideal / SPARE_GRANT_DIVISOR {
                let grant = lacks.min(free);
                each.grant += grant;
                each.target += grant;
                free -= grant;
            }
        }
    }
    planned
}

/// How much a cell lacks, if that is worth a move.
fn worthwhile_shortfall(share: &CellShare, fill: Units) -> Units {
    let lacks = fill.saturating_sub(share.outstanding);
    let at_once = share.used + share.first_request;
    let matters = lacks >= fill / SHORTFALL_DIVISOR || share.outstanding < at_once;
    if matters { lacks } else { 0 }
}

#[cfg(test)]
mod tests;
