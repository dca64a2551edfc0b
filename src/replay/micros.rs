use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

/// Nanoseconds in a microsecond.
const NANOS: u64 = 1_000;
/// Longest time, a hundred days in microseconds: up to there a double holds every
/// nanosecond, and no sum of a few of them overflows.
const MOST: f64 = 100.0 * 86_400.0 * 1e6;

/// A time in microseconds, with a fraction where it has nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Micros(pub Duration);

impl<'de> Deserialize<'de> for Micros {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let micros = f64::deserialize(deserializer)?;
        if !(0.0..=MOST).contains(&micros) {
            let text = format!("`{micros}` is no time; allowed is `0` to `{MOST}` µs");
            return Err(D::Error::custom(text));
        }
        Ok(Self(Duration::from_nanos((micros * NANOS as f64).round() as u64)))
    }
}

impl Serialize for Micros {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let nanos = u64::try_from(self.0.as_nanos()).unwrap_or(u64::MAX);
        match nanos.is_multiple_of(NANOS) {
            true => serializer.serialize_u64(nanos / NANOS),
            false => serializer.serialize_f64(nanos as f64 / NANOS as f64),
        }
    }
}
