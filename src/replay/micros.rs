use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

const NANOS_PER_MICRO: u64 = 1_000;
/// Maximum time in microseconds, 100 days: up to here an `f64` represents every nanosecond,
/// and sums of a few such times don't overflow.
const MAX_MICROS: f64 = 100.0 * 86_400.0 * 1e6;

/// A time that is serialised in microseconds, with a fraction if it is not a whole number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Micros(pub Duration);

impl<'de> Deserialize<'de> for Micros {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let micros = f64::deserialize(deserializer)?;
        if !(0.0..=MAX_MICROS).contains(&micros) {
            let text = format!("`{micros}` is no time; allowed is `0` to `{MAX_MICROS}` µs");
            return Err(D::Error::custom(text));
        }
        Ok(Self(Duration::from_nanos((micros * NANOS_PER_MICRO as f64).round() as u64)))
    }
}

impl Serialize for Micros {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let nanos = u64::try_from(self.0.as_nanos()).unwrap_or(u64::MAX);
        match nanos.is_multiple_of(NANOS_PER_MICRO) {
            true => serializer.serialize_u64(nanos / NANOS_PER_MICRO),
            false => serializer.serialize_f64(nanos as f64 / NANOS_PER_MICRO as f64),
        }
    }
}
