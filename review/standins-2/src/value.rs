//! Plain data, its MessagePack form on the wire, and its JSON form, in which the pages count sizes.

/// A value: what a message or a stored value consists of.
#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

impl From<&str> for V {
    fn from(text: &str) -> V {
        V::Text(text.to_owned())
    }
}
impl From<String> for V {
    fn from(text: String) -> V {
        V::Text(text)
    }
}
impl From<u64> for V {
    fn from(number: u64) -> V {
        V::Int(number.into())
    }
}
impl From<f64> for V {
    fn from(number: f64) -> V {
        V::Float(number)
    }
}
impl From<bool> for V {
    fn from(value: bool) -> V {
        V::Bool(value)
    }
}

/// Builds a map from pairs.
#[macro_export]
macro_rules! map {
    ($($key:expr => $value:expr),* $(,)?) => {
        $crate::value::V::Map(vec![$(($key.to_string(), $crate::value::V::from($value))),*])
    };
}

impl V {
    /// A field of a map; `Null` if there is none.
    pub fn get(&self, key: &str) -> &V {
        match self {
            V::Map(fields) => fields
                .iter()
                .find(|(name, _)| name == key)
                .map_or(&V::Null, |(_, value)| value),
            _ => &V::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            V::Text(text) => text,
            _ => "",
        }
    }

    pub fn int(&self) -> Option<u64> {
        match self {
            V::Int(number) => u64::try_from(*number).ok(),
            V::Float(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[V] {
        match self {
            V::List(items) => items,
            _ => &[],
        }
    }

    /// The JSON form, without spaces.
    pub fn json(&self) -> String {
        let mut text = String::new();
        self.write_json(&mut text);
        text
    }

    fn write_json(&self, out: &mut String) {
        match self {
            V::Null => out.push_str("null"),
            V::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            V::Int(number) => out.push_str(&number.to_string()),
            V::Float(number) => out.push_str(&format!("{number:?}")),
            V::Text(text) => write_json_text(text, out),
            V::List(items) => {
                out.push('[');
                for (position, item) in items.iter().enumerate() {
                    if position > 0 {
                        out.push(',');
                    }
                    item.write_json(out);
                }
                out.push(']');
            }
            V::Map(fields) => {
                out.push('{');
                for (position, (name, value)) in fields.iter().enumerate() {
                    if position > 0 {
                        out.push(',');
                    }
                    write_json_text(name, out);
                    out.push(':');
                    value.write_json(out);
                }
                out.push('}');
            }
        }
    }

    /// The MessagePack form.
    pub fn pack(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        self.write_pack(&mut bytes);
        bytes
    }

    fn write_pack(&self, out: &mut Vec<u8>) {
        match self {
            V::Null => out.push(0xc0),
            V::Bool(value) => out.push(0xc2 + u8::from(*value)),
            V::Int(number) if *number >= 0 => match *number as u64 {
                small @ 0..=0x7f => out.push(small as u8),
                small @ 0x80..=0xff => out.extend([0xcc, small as u8]),
                medium @ 0x100..=0xffff => {
                    out.push(0xcd);
                    out.extend((medium as u16).to_be_bytes());
                }
                large @ 0x1_0000..=0xffff_ffff => {
                    out.push(0xce);
                    out.extend((large as u32).to_be_bytes());
                }
                huge => {
                    out.push(0xcf);
                    out.extend(huge.to_be_bytes());
                }
            },
            V::Int(number) => {
                out.push(0xd3);
                out.extend((*number as i64).to_be_bytes());
            }
            V::Float(number) => {
                out.push(0xcb);
                out.extend(number.to_be_bytes());
            }
            V::Text(text) => {
                write_length(text.len(), [0xa0, 0xd9, 0xda, 0xdb], 31, out);
                out.extend(text.as_bytes());
            }
            V::List(items) => {
                write_length(items.len(), [0x90, 0, 0xdc, 0xdd], 15, out);
                items.iter().for_each(|item| item.write_pack(out));
            }
            V::Map(fields) => {
                write_length(fields.len(), [0x80, 0, 0xde, 0xdf], 15, out);
                for (name, value) in fields {
                    V::Text(name.clone()).write_pack(out);
                    value.write_pack(out);
                }
            }
        }
    }

    /// Reads a MessagePack value; `None` if the bytes are not exactly one.
    pub fn unpack(bytes: &[u8]) -> Option<V> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        (reader.at == bytes.len()).then_some(value)
    }
}

/// Writes the marker for a length; `markers`: the short form, and those for one, two and four bytes.
fn write_length(length: usize, markers: [u8; 4], short: usize, out: &mut Vec<u8>) {
    if length <= short {
        out.push(markers[0] | length as u8);
    } else if length <= 0xff && markers[1] != 0 {
        out.extend([markers[1], length as u8]);
    } else if length <= 0xffff {
        out.push(markers[2]);
        out.extend((length as u16).to_be_bytes());
    } else {
        out.push(markers[3]);
        out.extend((length as u32).to_be_bytes());
    }
}

fn write_json_text(text: &str, out: &mut String) {
    out.push('"');
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            control if (control as u32) < 0x20 => {
                out.push_str(&format!("\\u{:04x}", control as u32));
            }
            other => out.push(other),
        }
    }
    out.push('"');
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let taken = self.bytes.get(self.at..self.at.checked_add(count)?)?;
        self.at += count;
        Some(taken)
    }

    fn number(&mut self, count: usize) -> Option<u64> {
        let bytes = self.take(count)?;
        Some(
            bytes
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }

    fn text(&mut self, length: usize) -> Option<String> {
        String::from_utf8(self.take(length)?.to_vec()).ok()
    }

    fn items(&mut self, count: usize) -> Option<V> {
        (0..count)
            .map(|_| self.value())
            .collect::<Option<_>>()
            .map(V::List)
    }

    fn fields(&mut self, count: usize) -> Option<V> {
        let mut fields = Vec::new();
        for _ in 0..count {
            let V::Text(name) = self.value()? else {
                return None;
            };
            fields.push((name, self.value()?));
        }
        Some(V::Map(fields))
    }

    fn value(&mut self) -> Option<V> {
        let marker = self.take(1)?[0];
        Some(match marker {
            0x00..=0x7f => V::Int(marker.into()),
            0x80..=0x8f => self.fields((marker & 15).into())?,
            0x90..=0x9f => self.items((marker & 15).into())?,
            0xa0..=0xbf => V::Text(self.text((marker & 31).into())?),
            0xc0 => V::Null,
            0xc2 => V::Bool(false),
            0xc3 => V::Bool(true),
            0xca => V::Float(f32::from_bits(self.number(4)? as u32).into()),
            0xcb => V::Float(f64::from_bits(self.number(8)?)),
            0xcc => V::Int(self.number(1)?.into()),
            0xcd => V::Int(self.number(2)?.into()),
            0xce => V::Int(self.number(4)?.into()),
            0xcf => V::Int(self.number(8)?.into()),
            0xd0 => V::Int((self.number(1)? as u8 as i8).into()),
            0xd1 => V::Int((self.number(2)? as u16 as i16).into()),
            0xd2 => V::Int((self.number(4)? as u32 as i32).into()),
            0xd3 => V::Int((self.number(8)? as i64).into()),
            0xd9 => {
                let length = self.number(1)? as usize;
                V::Text(self.text(length)?)
            }
            0xda => {
                let length = self.number(2)? as usize;
                V::Text(self.text(length)?)
            }
            0xdb => {
                let length = self.number(4)? as usize;
                V::Text(self.text(length)?)
            }
            0xdc => {
                let count = self.number(2)? as usize;
                self.items(count)?
            }
            0xdd => {
                let count = self.number(4)? as usize;
                self.items(count)?
            }
            0xde => {
                let count = self.number(2)? as usize;
                self.fields(count)?
            }
            0xdf => {
                let count = self.number(4)? as usize;
                self.fields(count)?
            }
            0xe0..=0xff => V::Int((marker as i8).into()),
            _ => return None,
        })
    }
}
