//! How many calls were begun lately: about as many connections stay open for the next ones.

use tokio::time::Instant;

/// Counts the calls begun in the last seconds.
pub struct RecentCallCounter {
    started_at: Instant,
    /// The latest second with a call, since the start.
    current_second: u64,
    /// Calls begun in each of the last seconds, as a ring.
    calls_by_second: [usize; RecentCallCounter::WINDOW_S],
}

impl RecentCallCounter {
    /// Length of the window in seconds: as long as idle connections to workers are kept.
    pub const WINDOW_S: usize = 4;

    /// A counter without calls.
    pub fn new() -> Self {
        RecentCallCounter {
            started_at: Instant::now(),
            current_second: 0,
            calls_by_second: [0; Self::WINDOW_S],
        }
    }

    /// Counts one more call and returns how many began in the window, this one included.
    pub fn record_call(&mut self) -> usize {
        let second = self.started_at.elapsed().as_secs();
        let passed = (second - self.current_second).min(Self::WINDOW_S as u64);
        for past in 1..=passed {
            self.calls_by_second[((self.current_second + past) % Self::WINDOW_S as u64) as usize] =
                0;
        }
        self.current_second = second;
        self.calls_by_second[(second % Self::WINDOW_S as u64) as usize] += 1;
        self.calls_by_second.iter().sum()
    }
}

#[cfg(test)]
mod tests;
