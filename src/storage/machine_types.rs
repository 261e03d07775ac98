//! Machine types as they are stored: under one key, or in parts if they are too long for one value.

use serde_json::Value;

use crate::{
    protocol::cloud::{MachineType, MachineTypes},
    storage::{MACHINE_TYPES_KEY, VALUE_HEADROOM_BYTES, json_len, to_value},
};

/// The keys and values of the machine types, none of them longer than `value_bytes` as JSON: one if
/// that holds them all, else several parts that are only valid together.
pub fn machine_types_records(types: &[MachineType], value_bytes: usize) -> Vec<(String, Value)> {
    let available = value_bytes.saturating_sub(VALUE_HEADROOM_BYTES);
    let whole = machine_types_value(types);
    if json_len(&whole) <= available {
        return vec![(MACHINE_TYPES_KEY.into(), whole)];
    }
    let parts = split_types(types, available);
    let count = parts.len();
    let numbered = parts.into_iter().enumerate();
    numbered
        .map(|(number, part)| {
            let key = format!("{MACHINE_TYPES_KEY}/{number:05}-{count:05}");
            (key, machine_types_value(&part))
        })
        .collect()
}

fn machine_types_value(types: &[MachineType]) -> Value {
    to_value(&MachineTypes {
        types: types.to_vec(),
    })
}

/// Cuts machine types into parts of at most `available` bytes, or of a single type.
fn split_types(types: &[MachineType], available: usize) -> Vec<Vec<MachineType>> {
    let mut parts: Vec<Vec<MachineType>> = vec![Vec::new()];
    let mut used = 0;
    for machine_type in types {
        let len = json_len(machine_type) + 1;
        if used + len > available && used > 0 {
            parts.push(Vec::new());
            used = 0;
        }
        used += len;
        let last = parts.last_mut().expect("there is always a last part");
        last.push(machine_type.clone());
    }
    parts
}

/// The number of the part that has this key, and how many parts there are.
pub fn parse_machine_types_key(key: &str) -> Option<(u32, u32)> {
    let (part, count) = key
        .strip_prefix(MACHINE_TYPES_KEY)?
        .strip_prefix('/')?
        .split_once('-')?;
    Some((part.parse().ok()?, count.parse().ok()?))
}
