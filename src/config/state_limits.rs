//! Limits of the state service, both current and upcoming.

use serde::Deserialize;

const BYTES_PER_KB: f64 = 1024.0;
/// The smallest limit on values that a node can work with.
const MIN_VALUE_KB: f64 = 2.0;
/// The smallest limit on a transaction's size that a node can work with.
const MIN_TXN_OPS: u32 = 4;

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Total requests per second from all nodes.
    pub rps: f64,
    /// Total writes per second from all nodes.
    pub write_rps: f64,
    /// The longest value, in units of 1024 bytes of JSON.
    #[serde(rename = "value_kb")]
    pub max_value_kb: f64,
    /// The most conditions and writes in one transaction.
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: u32,
    /// Limits that will take effect at a time that the service does not announce.
    #[serde(default)]
    #[serde(rename = "next")]
    pub upcoming: Option<UpcomingStateLimits>,
}

/// Upcoming limits; those without a value do not change.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct UpcomingStateLimits {
    /// See [`StateLimits::rps`].
    pub rps: Option<f64>,
    /// See [`StateLimits::write_rps`].
    pub write_rps: Option<f64>,
    /// See [`StateLimits::max_value_kb`].
    #[serde(rename = "value_kb")]
    pub max_value_kb: Option<f64>,
    /// See [`StateLimits::max_txn_ops`].
    #[serde(rename = "txn_ops")]
    pub max_txn_ops: Option<u32>,
}

impl UpcomingStateLimits {
    fn validation_errors(&self, path: &str) -> Vec<String> {
        let mut errors = Vec::new();
        for (field, value) in [("rps", self.rps), ("write_rps", self.write_rps)] {
            if value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                errors.push(format!("{path}.{field}: must be above 0"));
            }
        }
        if self
            .max_value_kb
            .is_some_and(|kb| !kb.is_finite() || kb < MIN_VALUE_KB)
        {
            errors.push(format!("{path}.value_kb: must be at least {MIN_VALUE_KB}"));
        }
        if self.max_txn_ops.is_some_and(|ops| ops < MIN_TXN_OPS) {
            errors.push(format!("{path}.txn_ops: must be at least {MIN_TXN_OPS}"));
        }
        errors
    }
}

impl StateLimits {
    /// The stricter of the current and the upcoming value of each limit. The service does not announce
    /// when the limits change, and a transaction that was within the limits when it was sent may be
    /// applied after the change.
    pub fn strictest(&self) -> StateLimits {
        let upcoming = self.upcoming.unwrap_or_default();
        let strictest =
            |now: f64, upcoming: Option<f64>| upcoming.map_or(now, |next| next.min(now));
        StateLimits {
            rps: strictest(self.rps, upcoming.rps),
            write_rps: strictest(self.write_rps, upcoming.write_rps),
            max_value_kb: strictest(self.max_value_kb, upcoming.max_value_kb),
            max_txn_ops: upcoming
                .max_txn_ops
                .unwrap_or(self.max_txn_ops)
                .min(self.max_txn_ops),
            upcoming: None,
        }
    }

    /// The longest value that may be written, in bytes of JSON.
    pub fn max_value_bytes(&self) -> usize {
        (self.max_value_kb * BYTES_PER_KB) as usize
    }

    /// All errors in the limits; each names its field.
    pub(super) fn validation_errors(&self) -> Vec<String> {
        let current = UpcomingStateLimits {
            rps: Some(self.rps),
            write_rps: Some(self.write_rps),
            max_value_kb: Some(self.max_value_kb),
            max_txn_ops: Some(self.max_txn_ops),
        };
        let mut errors = current.validation_errors("settings.state");
        if let Some(upcoming) = &self.upcoming {
            errors.extend(upcoming.validation_errors("settings.state.next"));
        }
        errors
    }
}
