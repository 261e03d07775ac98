//! Counts recent calls. About as many connections are kept open for the next ones.

use tokio::time::Instant;

/// Counts the calls that were started in the last [`Self::WINDOW_S`] seconds.
pub struct RecentCallCounter {
    started_at: Instant,
    /// The second of the latest call, counted from `started_at`.
    current_second: u64,
    /// Calls started in each second of the window, as a ring indexed by second.
    calls_by_second: [usize; RecentCallCounter::WINDOW_S],
}

impl RecentCallCounter {
    /// Length of the window in seconds, which is also how long idle connections to workers are kept.
    pub const WINDOW_S: usize = 4;

    /// A counter without calls.
    pub fn new() -> Self {
        RecentCallCounter {
            started_at: Instant::now(),
            current_second: 0,
            calls_by_second: [0; Self::WINDOW_S],
        }
    }

    /// Counts one more call and returns the number of calls in the window, including this one.
    pub fn record_call(&mut self) -> usize {
        let second = self.started_at.elapsed().as_secs();
        let elapsed = (second - self.current_second).min(Self::WINDOW_S as u64);
        for offset in 1..=elapsed {
            self.calls_by_second
                [((self.current_second + offset) % Self::WINDOW_S as u64) as usize] = 0;
        }
        self.current_second = second;
        self.calls_by_second[(second % Self::WINDOW_S as u64) as usize] += 1;
        self.calls_by_second.iter().sum()
    }
}

#[cfg(test)]
mod tests;
