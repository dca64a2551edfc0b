use super::Scalar;
use super::scalar::parse_decimal;

/// A ratio from 0 to 1, written as `0.7` or `70%`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Ratio(pub f64);

impl Scalar for Ratio {
    const KIND: &'static str = "a share";
    const ALLOWED: &'static str = "write `0%` to `100%`, or `0.0` to `1.0`";

    fn read(text: &str) -> Option<Self> {
        let value = match text.strip_suffix('%') {
            Some(percent) => parse_decimal(percent)? / 100.0,
            None => parse_decimal(text)?,
        };
        (0.0..=1.0).contains(&value).then_some(Self(value))
    }

    fn show(&self) -> String {
        format!("{}%", self.0 * 100.0)
    }
}
