//! Time as the event loop reads it: milliseconds of a clock that never goes back.

/// Milliseconds of the steady clock since the process began.
pub type Millis = u64;

/// Whole milliseconds of a duration in seconds.
pub fn millis(seconds: f64) -> Millis {
    (seconds * 1000.0) as Millis
}
