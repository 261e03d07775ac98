//! Which machines to rent and which to return.

use std::collections::HashMap;

use crate::{
    cluster::{
        Amounts, Books, Job, JobIx, MachineIx, MachineState, Phase, QueueKey, TypeIx, ZoneIx,
    },
    protocol::job::Kind,
    time::{Millis, millis},
};

/// What can be rented: a type in a zone, spot or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    pub type_ix: TypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
}

/// A rental under way.
#[derive(Clone, Debug)]
pub struct Rental {
    pub offer: Offer,
    pub count: u32,
}

/// A machine costs a minute at least; a return that is decided on a little earlier is carried out
/// when that is over.
const MIN_CHARGE: Millis = 57_000;
/// An empty machine is kept this long: the next job may want it.
const IDLE: Millis = 12_000;
/// An offer that had nothing is not asked again for this long.
const NO_CAPACITY: Millis = 20_000;
/// Estimates are often too low; so much of the time that a task can wait is counted on.
const SAFETY: f64 = 0.5;
/// How long an array without any aim waits for others to finish before more is rented for it.
const NO_AIM_S: f64 = 60.0;
const MAX_RENT: u32 = 50;
/// Arrivals of services are counted over this time.
const WINDOW: Millis = 120_000;
/// Tasks of services that room is kept for on the strength of one burst. What is more has to have come
/// in other parts of the window too: a deployment's start brings thousands at once that nobody follows.
/// Taken for the most that could ever be wanted, it had one replica in ten wait for a machine on calm days of
/// 1,213 machines, where 140 come while one boots.
const ONE_BURST: usize = 64;
const PARTS: usize = 8;
/// Room is looked for, for each, in each plan.
const MAX_SPARE: usize = 2048;
/// Fewer silent machines than this say nothing of their zone.
const FEW: usize = 3;
/// Machines that arrays may ask for in one plan: few rentals are under way at a time, and the next plan is
/// made anew.
const MAX_FRESH: usize = 100;

#[derive(Default)]
pub struct Autoscaler {
    /// Offers that were refused, and until when they are passed over.
    refused: HashMap<Offer, Millis>,
    /// Service tasks that came lately: when, by the time of day, and what each took. A successor knows them
    /// from the jobs' records: without, the room that was kept ready was returned after each takeover.
    arrivals: Vec<(u64, Amounts)>,
    began: Option<u64>,
}

/// A machine that is there, coming, or wanted.
struct Bin {
    offer: Offer,
    room: Amounts,
    fresh: bool,
}

struct Bins {
    bins: Vec<Bin>,
    /// How many there are in each zone.
    crowd: Vec<usize>,
    /// How many of them are to be rented.
    fresh: usize,
    /// Zones that seem to be cut off.
    dark: Vec<bool>,
}

impl Bins {
    fn new(books: &Books, bins: Vec<Bin>, dark: Vec<bool>) -> Self {
        let mut crowd = vec![0; books.zone_names.len()];
        for bin in &bins {
            crowd[bin.offer.zone.at()] += 1;
        }
        Bins {
            bins,
            crowd,
            fresh: 0,
            dark,
        }
    }

    /// A new one, for a task that takes `need` of it.
    fn add(&mut self, books: &Books, offer: Offer, need: &Amounts) {
        let mut room = whole(books, offer.type_ix);
        room.sub(need);
        self.crowd[offer.zone.at()] += 1;
        self.fresh += 1;
        self.bins.push(Bin {
            offer,
            room,
            fresh: true,
        });
    }
}

impl Autoscaler {
    pub fn refuse(&mut self, offer: Offer, now: Millis) {
        self.refused.insert(offer, now + NO_CAPACITY);
    }

    /// A service came, at this time of day: room for the next of its kind is kept.
    pub fn arrived(&mut self, need: Amounts, tasks: usize, at_ms: u64) {
        self.began = Some(self.began.map_or(at_ms, |began| began.min(at_ms)));
        self.arrivals
            .extend(std::iter::repeat_n((at_ms, need), tasks.min(MAX_SPARE)));
    }

    /// Room that services of the near future may want before a machine could be up.
    fn spare(&mut self, books: &Books, wall_ms: u64) -> Vec<Amounts> {
        let began = *self.began.get_or_insert(wall_ms);
        self.arrivals.retain(|(at, _)| at + WINDOW > wall_ms);
        let window = wall_ms.saturating_sub(began).clamp(30_000, WINDOW) as f64 / 1000.0;
        let boot_s = books
            .types
            .iter()
            .map(|kind| kind.boot_s)
            .fold(f64::INFINITY, f64::min);
        if self.arrivals.is_empty() || !boot_s.is_finite() {
            return Vec::new();
        }
        let expected = |arrivals: usize, window: f64| {
            (arrivals as f64 / window * boot_s * 1.5).ceil() as usize
        };
        // All of them but those of the two parts on end that brought the most.
        let mut parts = [0; PARTS];
        for (at, _) in &self.arrivals {
            let age = wall_ms.saturating_sub(*at) as usize;
            parts[(age * PARTS / WINDOW as usize).min(PARTS - 1)] += 1;
        }
        let most: usize = parts
            .windows(2)
            .map(|two| two[0] + two[1])
            .max()
            .unwrap_or(0);
        let others = window * (PARTS - 2) as f64 / PARTS as f64;
        let steady = expected(self.arrivals.len() - most, others);
        let count = expected(self.arrivals.len(), window).min(steady.max(ONE_BURST));
        let mut needs: Vec<Amounts> = self.arrivals.iter().map(|(_, need)| *need).collect();
        needs.sort_by(|a, b| b.cpus.total_cmp(&a.cpus));
        needs.truncate(count.min(MAX_SPARE));
        needs
    }

    /// What to rent now, given what is under way.
    pub fn plan(
        &mut self,
        books: &Books,
        under_way: &[Rental],
        now: Millis,
        wall_ms: u64,
    ) -> (Vec<Rental>, Vec<MachineIx>) {
        self.refused.retain(|_, until| *until > now);
        let dark = dark(books, now);
        let mut bins: Vec<Bin> = Vec::new();
        for machine in &books.machines {
            let room = match machine.state {
                MachineState::Booting if dark[machine.zone.at()] => continue,
                MachineState::Booting if !machine.draining => books.room(machine),
                MachineState::Up if machine.usable() => books.room(machine),
                _ => continue,
            };
            bins.push(Bin {
                offer: Offer {
                    type_ix: machine.type_ix,
                    zone: machine.zone,
                    spot: machine.spot,
                },
                room,
                fresh: false,
            });
        }
        for rental in under_way {
            for _ in 0..rental.count {
                bins.push(Bin {
                    offer: rental.offer,
                    room: whole(books, rental.offer.type_ix),
                    fresh: false,
                });
            }
        }
        let mut bins = Bins::new(books, bins, dark);
        self.want(books, &mut bins, now, wall_ms);
        let spare = self.spare(books, wall_ms);
        let mut missing = Vec::new();
        for need in &spare {
            match bins
                .bins
                .iter_mut()
                .find(|bin| !bin.offer.spot && need.fits_in(&bin.room))
            {
                Some(bin) => bin.room.sub(need),
                None => missing.push(*need),
            }
        }
        for need in missing {
            if let Some(bin) = bins
                .bins
                .iter_mut()
                .find(|bin| !bin.offer.spot && need.fits_in(&bin.room))
            {
                bin.room.sub(&need);
            } else if let Some(offer) =
                self.cheapest(books, &bins, &need, u64::MAX, 1, false, false, |_| true)
            {
                bins.add(books, offer, &need);
            }
        }
        let mut wanted: HashMap<Offer, u32> = HashMap::new();
        for bin in bins.bins.iter().filter(|bin| bin.fresh) {
            *wanted.entry(bin.offer).or_default() += 1;
        }
        let mut rentals: Vec<Rental> = wanted
            .into_iter()
            .map(|(offer, count)| Rental {
                offer,
                count: count.min(MAX_RENT),
            })
            .collect();
        // The largest first: few can be asked for at a time.
        rentals.sort_by_key(|rental| (std::cmp::Reverse(rental.count), rental.offer));
        let returns = if rentals.is_empty() {
            self.returns(books, &spare, now)
        } else {
            Vec::new()
        };
        (rentals, returns)
    }

    /// Puts what waits into the bins, and into new ones where need be: the most urgent first, for an
    /// array may want more machines than are asked for at once.
    fn want(&self, books: &Books, bins: &mut Bins, now: Millis, wall_ms: u64) {
        let mut jobs: Vec<QueueKey> = books
            .teams
            .iter()
            .flat_map(|team| team.queue.iter().copied())
            .collect();
        jobs.sort_unstable();
        let freed = Freed::new(books, now);
        let mut budgets: Vec<Amounts> = books.teams.iter().map(|team| team.booked).collect();
        // How many waiting tasks count on places that running tasks will leave in time.
        let mut spoken_for = 0;
        let mut unmet: Vec<&Job> = Vec::new();
        for (.., job) in jobs {
            let job = books.job(job);
            // Nothing is rented for a job that fails everywhere.
            if job.at_fault {
                continue;
            }
            let mut slots = job.waiting.len();
            if job.kind == Kind::Array {
                // What found nothing finds nothing for those who ask for as much.
                let hopeless = |other: &&Job| {
                    other.need.fits_in(&job.need)
                        && job.types & !other.types == 0
                        && (other.spot || !job.spot)
                        && (!idle_time(other) || idle_time(job))
                };
                if bins.fresh >= MAX_FRESH || unmet.iter().any(hopeless) {
                    continue;
                }
                let window = can_wait_s(job, wall_ms) * SAFETY;
                let places = freed.places(job, window) as usize;
                let covered = slots.min(places.saturating_sub(spoken_for));
                spoken_for += covered;
                slots -= covered;
            }
            let limit = &books.teams[job.team.at()].limit;
            let budget = &mut budgets[job.team.at()];
            let mut by_zone = job.by_zone.clone();
            let mut from = 0;
            for _ in 0..slots {
                let mut asked = *budget;
                asked.add(&job.need);
                if asked.cpus > limit.cpus + 1e-6 || asked.gpus > limit.gpus + 1e-6 {
                    break;
                }
                *budget = asked;
                let Some(zone) = self.fit(books, job, &by_zone, bins, &mut from) else {
                    if job.kind == Kind::Array && job.zone.is_none() && !job.one_zone && !job.spread
                    {
                        unmet.push(job);
                    }
                    break;
                };
                by_zone[zone.at()] += 1;
            }
        }
    }

    /// Puts a task into a bin, a new one if need be; the zone it went to. The bins before `from` were
    /// too small for the job's earlier tasks, or in zones that are full of them.
    fn fit(
        &self,
        books: &Books,
        job: &Job,
        by_zone: &[u32],
        bins: &mut Bins,
        from: &mut usize,
    ) -> Option<ZoneIx> {
        let half = job.tasks.len().div_ceil(2) as u32;
        let zone_ok = |zone: ZoneIx| {
            job.zone.is_none_or(|only| only == zone)
                && (!job.spread || by_zone[zone.at()] < half)
                && (!job.one_zone
                    || by_zone
                        .iter()
                        .enumerate()
                        .all(|(other, &count)| count == 0 || other == zone.at()))
        };
        let found = bins.bins[*from..].iter().position(|bin| {
            (!bin.offer.spot || job.spot)
                && job.allows_type(bin.offer.type_ix)
                && zone_ok(bin.offer.zone)
                && job.need.fits_in(&bin.room)
        });
        if let Some(found) = found {
            *from += found;
            let bin = &mut bins.bins[*from];
            bin.room.sub(&job.need);
            return Some(bin.offer.zone);
        }
        *from = bins.bins.len();
        if job.kind == Kind::Array && bins.fresh >= MAX_FRESH {
            return None;
        }
        let offer = self.cheapest(
            books,
            bins,
            &job.need,
            job.types,
            job.waiting.len(),
            job.spot,
            idle_time(job),
            zone_ok,
        )?;
        bins.add(books, offer, &job.need);
        Some(offer.zone)
    }

    /// The offer with the least price for each task that it would hold; among equals the zone
    /// with the fewest machines.
    #[allow(clippy::too_many_arguments)]
    fn cheapest(
        &self,
        books: &Books,
        bins: &Bins,
        need: &Amounts,
        types: u64,
        tasks: usize,
        spot_allowed: bool,
        spot_only: bool,
        zone_ok: impl Fn(ZoneIx) -> bool,
    ) -> Option<Offer> {
        let mut best: Option<(f64, usize, Offer)> = None;
        for (index, kind) in books.types.iter().enumerate() {
            let type_ix = TypeIx(index as u32);
            let room = whole(books, type_ix);
            if types & (1 << index) == 0 || !need.fits_in(&room) {
                continue;
            }
            let holds = [
                room.cpus / need.cpus,
                room.ram_gb / need.ram_gb,
                if need.gpus > 0.0 {
                    room.gpus / need.gpus
                } else {
                    f64::INFINITY
                },
            ]
            .into_iter()
            .fold(f64::INFINITY, f64::min)
            .floor()
            .max(1.0);
            let used = holds.min(tasks.max(1) as f64);
            for name in &kind.zones {
                let Some(zone) = books.zones.get(name).map(ZoneIx) else {
                    continue;
                };
                if !zone_ok(zone) || bins.dark[zone.at()] {
                    continue;
                }
                for spot in [false, true] {
                    let offer = Offer {
                        type_ix,
                        zone,
                        spot,
                    };
                    if (spot && !spot_allowed)
                        || (!spot && spot_only)
                        || self.refused.contains_key(&offer)
                    {
                        continue;
                    }
                    let price = match kind.spot_price {
                        Some(price) if spot => price,
                        _ if spot => continue,
                        _ => kind.price,
                    };
                    let crowd = bins.crowd[zone.at()];
                    let cost = price / used;
                    if best.is_none_or(|(least, few, _)| {
                        cost < least - 1e-9 || (cost < least + 1e-9 && crowd < few)
                    }) {
                        best = Some((cost, crowd, offer));
                    }
                }
            }
        }
        best.map(|(.., offer)| offer)
    }

    /// Machines that have stood empty long enough and are not needed as spare room.
    fn returns(&self, books: &Books, spare: &[Amounts], now: Millis) -> Vec<MachineIx> {
        let mut returns: Vec<MachineIx> = Vec::new();
        let mut leaving = vec![false; books.machines.len()];
        let mut empty: Vec<(bool, Millis, MachineIx)> = books
            .machines
            .iter()
            .enumerate()
            .filter(|(_, machine)| {
                machine.state == MachineState::Up
                    && machine.attempts.iter().all(|attempt| books.told(attempt))
                    && (machine.draining
                        || (machine.idle_since + IDLE <= now
                            && machine.rented_at + MIN_CHARGE <= now))
            })
            .map(|(index, machine)| {
                let boot = millis(books.types[machine.type_ix.at()].boot_s);
                (
                    !machine.draining,
                    machine.idle_since + boot,
                    MachineIx(index as u32),
                )
            })
            .collect();
        empty.sort();
        for (.., index) in empty {
            let machine = books.machine(index);
            let mut rooms: Vec<Amounts> = books
                .machines
                .iter()
                .enumerate()
                .filter(|(other, each)| {
                    *other != index.at() && each.usable() && !each.spot && !leaving[*other]
                })
                .map(|(_, each)| books.room(each))
                .collect();
            let covered = machine.spot
                || machine.draining
                || spare.iter().all(|need| {
                    rooms
                        .iter_mut()
                        .find(|room| need.fits_in(room))
                        .map(|room| room.sub(need))
                        .is_some()
                });
            if covered {
                leaving[index.at()] = true;
                returns.push(index);
            }
        }
        returns
    }
}

/// Zones most of whose machines are silent. What boots there can't be heard of either: while one was cut off
/// for a minute, most of what was rented came up in it and was of no use, as it had the fewest machines left.
fn dark(books: &Books, now: Millis) -> Vec<bool> {
    let mut zones = vec![(0, 0); books.zone_names.len()];
    for machine in &books.machines {
        let silent = match machine.state {
            // After a takeover the workers have to find their leader first.
            MachineState::Up if machine.heard_at.is_none() && now < books.settled_at => continue,
            MachineState::Up => machine.silent,
            MachineState::Lost => true,
            _ => continue,
        };
        let (dark, all) = &mut zones[machine.zone.at()];
        *dark += usize::from(silent);
        *all += 1;
    }
    let dark = |(silent, all): (usize, usize)| silent >= FEW && silent * 2 > all;
    zones.into_iter().map(dark).collect()
}

/// How long the job's tasks can wait for a place and still be on time: by its deadline, by what is aimed
/// at for its class, or by what those that need it need.
fn can_wait_s(job: &Job, wall_ms: u64) -> f64 {
    let waited = wall_ms.saturating_sub(job.released_ms) as f64 / 1000.0;
    let due = job.waits.first().copied().unwrap_or(NO_AIM_S);
    (due - waited).max(0.0)
}

/// Nothing is aimed at for the job, and it may run on spot machines: ordinary ones are not rented for it,
/// which cost several times as much.
fn idle_time(job: &Job) -> bool {
    job.kind == Kind::Array && job.latest.is_empty() && job.spot
}

fn whole(books: &Books, type_ix: TypeIx) -> Amounts {
    let kind = &books.types[type_ix.at()];
    Amounts {
        cpus: kind.cpus,
        gpus: kind.gpus,
        ram_gb: kind.ram_gb,
    }
}

/// When running array tasks will leave their places, for those that offer alike.
struct Places {
    type_ix: TypeIx,
    spot: bool,
    need: Amounts,
    /// Seconds from now, in order, and their sums from the start.
    left: Vec<f64>,
    sums: Vec<f64>,
}

/// The places that running array tasks will leave. Hundreds of jobs ask in one plan, so they are
/// sorted out once.
struct Freed {
    places: Vec<Places>,
}

impl Freed {
    fn new(books: &Books, now: Millis) -> Self {
        let mut index: HashMap<(TypeIx, bool, JobIx), usize> = HashMap::new();
        let mut places: Vec<Places> = Vec::new();
        for machine in books.machines.iter().filter(|machine| machine.usable()) {
            for attempt in &machine.attempts {
                let job = books.job(attempt.job);
                if attempt.phase == Phase::Ended || job.kind != Kind::Array {
                    continue;
                }
                let ran = attempt
                    .running_since
                    .map_or(0.0, |since| now.saturating_sub(since) as f64 / 1000.0);
                let key = (machine.type_ix, machine.spot, attempt.job);
                let at = *index.entry(key).or_insert_with(|| {
                    places.push(Places {
                        type_ix: machine.type_ix,
                        spot: machine.spot,
                        need: job.need,
                        left: Vec::new(),
                        sums: Vec::new(),
                    });
                    places.len() - 1
                });
                let left = (job.estimate_s - ran).max(job.estimate_s * 0.25);
                places[at].left.push(left);
            }
        }
        for each in &mut places {
            each.left.sort_by(f64::total_cmp);
            let sums = each.left.iter().scan(0.0, |sum, left| {
                *sum += left;
                Some(*sum)
            });
            each.sums = sums.collect();
        }
        Freed { places }
    }

    /// How many tasks of this job could be started within `window_s` in places that are left: one
    /// when it is left, and others after it in the time that remains.
    fn places(&self, job: &Job, window_s: f64) -> f64 {
        if window_s <= 0.0 {
            return 0.0;
        }
        let suits = |each: &&Places| {
            (!each.spot || job.spot)
                && job.allows_type(each.type_ix)
                && job.need.fits_in(&each.need)
        };
        let all = self.places.iter().filter(suits).map(|each| {
            let count = each.left.partition_point(|left| *left < window_s);
            let sum = count.checked_sub(1).map_or(0.0, |last| each.sums[last]);
            let count = count as f64;
            count + (count * window_s - sum) / job.estimate_s.max(1.0)
        });
        all.sum()
    }
}
