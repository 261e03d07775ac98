//! Time in the event loop: milliseconds of a monotonic clock.

/// Milliseconds since the start of the process, by the monotonic clock.
pub type Millis = u64;

/// Converts seconds to whole milliseconds, rounded down.
pub fn millis(seconds: f64) -> Millis {
    (seconds * 1000.0) as Millis
}
