//! The stored form of the machine types: one key, or several parts if they are too long for one value.

use serde_json::Value;

use crate::{
    protocol::cloud::{MachineType, MachineTypes},
    storage::{MACHINE_TYPES_KEY, VALUE_HEADROOM_BYTES, json_len, to_value},
};

/// The keys and values that store the machine types, each value at most `value_bytes` long as JSON:
/// one if all types fit, otherwise several parts that are only valid together.
pub fn machine_types_records(types: &[MachineType], value_bytes: usize) -> Vec<(String, Value)> {
    let available_bytes = value_bytes.saturating_sub(VALUE_HEADROOM_BYTES);
    let whole = machine_types_value(types);
    if json_len(&whole) <= available_bytes {
        return vec![(MACHINE_TYPES_KEY.into(), whole)];
    }
    let parts = split_types(types, available_bytes);
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

/// Splits machine types into parts of at most `available_bytes` each. A single type that is longer
/// gets a part of its own.
fn split_types(types: &[MachineType], available_bytes: usize) -> Vec<Vec<MachineType>> {
    let mut parts: Vec<Vec<MachineType>> = vec![Vec::new()];
    let mut used_bytes = 0;
    for machine_type in types {
        let len = json_len(machine_type) + 1;
        if used_bytes + len > available_bytes && used_bytes > 0 {
            parts.push(Vec::new());
            used_bytes = 0;
        }
        used_bytes += len;
        let last = parts.last_mut().expect("there is always a last part");
        last.push(machine_type.clone());
    }
    parts
}

/// The part number and the number of parts in the key of a part; `None` for any other key.
pub fn parse_machine_types_key(key: &str) -> Option<(u32, u32)> {
    let (part, count) = key
        .strip_prefix(MACHINE_TYPES_KEY)?
        .strip_prefix('/')?
        .split_once('-')?;
    Some((part.parse().ok()?, count.parse().ok()?))
}
