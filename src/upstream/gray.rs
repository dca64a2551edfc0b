use std::str::FromStr;
use std::time::Duration;

use super::Error;

/// How a stand-in fails while it reports itself healthy.
#[derive(Clone, Debug, PartialEq)]
pub enum Gray {
    /// Cuts this share of its answers in the middle.
    Cut(f64),
    /// Answers this share with status 500.
    Error(f64),
    /// Fails by the inner mode for a period, then not for one, in turn.
    Flap(Duration, Box<Gray>),
    /// Sound.
    None,
    /// Reads this share of its requests and never answers.
    Silent(f64),
    /// Takes this many times as long.
    Slow(f64),
}

impl Gray {
    /// The mode in force `since` the stand-in's start: flapping resolved.
    pub fn at(&self, since: Duration) -> &Gray {
        match self {
            Self::Flap(period, inner) => {
                let turn = since.as_millis() / period.as_millis().max(1);
                if turn.is_multiple_of(2) { &Gray::None } else { inner.at(since) }
            }
            other => other,
        }
    }
}

impl FromStr for Gray {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let wrong = || Error::Gray(text.to_owned());
        let (name, rest) = text.split_once(':').unwrap_or((text, ""));
        if name == "none" {
            return Ok(Self::None);
        }
        if name == "flap" {
            let (seconds, inner) = rest.split_once(':').ok_or_else(wrong)?;
            let seconds: f64 = seconds.parse().map_err(|_| wrong())?;
            let period = Duration::try_from_secs_f64(seconds).map_err(|_| wrong())?;
            return Ok(Self::Flap(period, Box::new(inner.parse()?)));
        }
        let number: f64 = rest.parse().map_err(|_| wrong())?;
        let share = (0.0..=1.0).contains(&number);
        match name {
            "cut" if share => Ok(Self::Cut(number)),
            "error" if share => Ok(Self::Error(number)),
            "silent" if share => Ok(Self::Silent(number)),
            "slow" if number >= 1.0 => Ok(Self::Slow(number)),
            _ => Err(wrong()),
        }
    }
}
