//! What runs where, what waits, and what should be rented: plain data and decisions without I/O.

pub mod autoscaler;
pub mod blame;
pub mod books;
pub mod dues;
pub mod pace;
pub mod quota;
pub mod scheduler;
pub mod store;

/// Milliseconds of the steady clock since the process began.
pub type Millis = u64;

/// Whole milliseconds of a duration in seconds.
pub fn millis(seconds: f64) -> Millis {
    (seconds * 1000.0) as Millis
}
