use super::*;

fn class(name: &str) -> Class {
    Class {
        team: "red".into(),
        class: name.into(),
    }
}

/// A door that lets in `flood` and `calm` submissions a second of two classes, and `rest` of any.
fn door(flood: f64, calm: f64, rest: f64) -> (Door, Parts) {
    let parts = Parts {
        classes: BTreeMap::from([(class("flood"), flood), (class("calm"), calm)]),
        rest,
        lapsed: false,
    };
    let mut door = Door::default();
    door.fill(&parts, 1);
    (door, parts)
}

/// Users of one class that come a number of times a second and do as they are told; when each was let in.
fn crowd(door: &mut Door, parts: &Parts, rate: u64, seconds: u64) -> Crowd {
    let mut crowd = Crowd::default();
    let mut back: BTreeSet<(Millis, u64)> = BTreeSet::new();
    let mut next = 0;
    for now in (1000..(seconds + 70) * 1000).step_by(20) {
        door.fill(parts, now);
        door.look(now);
        let mut knocks: Vec<(u64, bool)> = Vec::new();
        while let Some(&(at, job)) = back.first().filter(|(at, _)| *at <= now) {
            back.remove(&(at, job));
            knocks.push((job, true));
        }
        if now < seconds * 1000 {
            let due = (now - 1000) * rate / 1000;
            knocks.extend((next..due).map(|job| (job, false)));
            next = next.max(due);
        }
        for (job, again) in knocks {
            let came = crowd.came.entry(job).or_insert(now);
            match door.knock(&class("flood"), JobId(job), now) {
                Knock::In { .. } => {
                    crowd.waits.push(now - *came);
                    crowd.let_in.push(now);
                    door.accepted(JobId(job), true, now);
                }
                Knock::Away { after_s, turn } => {
                    crowd.again += usize::from(again && turn);
                    crowd.away.push(now);
                    let at = now + Millis::from(after_s) * 1000;
                    if at < *came + TRIES {
                        back.insert((at, job));
                    }
                }
            }
        }
    }
    crowd
}

#[derive(Default)]
struct Crowd {
    came: HashMap<u64, Millis>,
    let_in: Vec<Millis>,
    waits: Vec<Millis>,
    away: Vec<Millis>,
    /// Sent away although they came back when they were told to.
    again: usize,
}

#[test]
fn a_flood_is_let_in_at_its_rate_and_turns_are_kept() {
    let (mut door, parts) = door(10.0, 1.0, 0.5);
    let crowd = crowd(&mut door, &parts, 30, 20);
    let rate = crowd
        .let_in
        .iter()
        .filter(|at| (20_000..50_000).contains(*at))
        .count();
    assert!((270..=360).contains(&rate), "{rate} in 30 s");
    let longest = crowd.waits.iter().max().copied().unwrap_or(0);
    assert!(longest <= TRIES, "{longest}");
    // A turn of more than 30 s is told in two.
    assert!(
        crowd.again * 4 <= crowd.came.len(),
        "{} of {}",
        crowd.again,
        crowd.came.len()
    );
    assert!(
        crowd.let_in.len() * 10 >= crowd.came.len() * 9,
        "600 in 60 s fit"
    );
}

#[test]
fn a_flood_of_one_class_takes_nothing_that_another_asks_for() {
    let (mut door, _) = door(10.0, 1.0, 0.5);
    for job in 0..5000 {
        door.knock(&class("flood"), JobId(job), 1000);
    }
    let calm = door.knock(&class("calm"), JobId(9000), 1000);
    assert_eq!(calm, Knock::In { within: true });
    // Those that can have no turn within their minute are told so at once.
    let late = door.knock(&class("flood"), JobId(9001), 1000);
    assert!(matches!(late, Knock::Away { turn: false, .. }), "{late:?}");
}

/// Returns don't come together, and those told to come back go before newcomers.
#[test]
fn who_comes_back_in_time_goes_before_newcomers() {
    let (mut door, parts) = door(2.0, 1.0, 0.0);
    let now = 10_000;
    door.fill(&parts, now);
    let mut told = Vec::new();
    for job in 0..40 {
        if let Knock::Away {
            after_s,
            turn: true,
        } = door.knock(&class("flood"), JobId(job), now)
        {
            told.push((after_s, job));
        }
    }
    for second in 1..10 {
        let together = told.iter().filter(|(after, _)| *after == second).count();
        assert!(together <= 3, "{together} in second {second}");
    }
    let (after_s, first) = told[0];
    let then = now + Millis::from(after_s) * 1000;
    door.fill(&parts, then);
    door.look(then);
    for job in 100..110 {
        let newcomer = door.knock(&class("flood"), JobId(job), then);
        assert!(matches!(newcomer, Knock::Away { .. }), "{newcomer:?}");
    }
    let back = door.knock(&class("flood"), JobId(first), then);
    assert_eq!(back, Knock::In { within: true });
}

/// The load balancer leads him to another node.
#[test]
fn a_turn_counts_at_every_node() {
    let (mut one, parts) = door(2.0, 1.0, 0.0);
    let (mut other, _) = door(2.0, 1.0, 0.0);
    for job in 0..30 {
        one.knock(&class("flood"), JobId(job), 1000);
        other.knock(&class("flood"), JobId(1000 + job), 1000);
    }
    let turns = one.turns(1000);
    let (job, _, in_ms) = turns[0].clone();
    other.heard_turns(&turns, 1000);
    let then = 1000 + in_ms;
    other.fill(&parts, then);
    assert_eq!(
        other.knock(&class("flood"), job, then),
        Knock::In { within: true }
    );
}

#[test]
fn within_ten_seconds_of_a_floods_end_nobody_is_sent_away() {
    let (mut door, parts) = door(10.0, 1.0, 2.0);
    let crowd = crowd(&mut door, &parts, 16, 10);
    let last = crowd.away.iter().max().copied().unwrap_or(0);
    assert!(last <= 20_000, "{last}");
    assert_eq!(crowd.let_in.len(), crowd.came.len());
}

#[test]
fn who_was_sent_away_and_never_came_back_has_given_up() {
    let (mut door, _) = door(1.0, 1.0, 0.0);
    for job in 0..20 {
        door.knock(&class("flood"), JobId(job), 1000);
    }
    door.look(1000 + GIVEN_UP);
    let flood = door.counts().find(|(name, _)| name.class == "flood");
    let counts = flood.expect("it came").1;
    assert_eq!(counts.came, 20);
    assert!(counts.given_up >= 14, "{counts:?}");
}
