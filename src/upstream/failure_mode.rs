use std::str::FromStr;
use std::time::Duration;

use super::Error;

/// Gray failure of a test upstream, which fails requests while its health check succeeds.
#[derive(Clone, Debug, PartialEq)]
pub enum FailureMode {
    /// Closes the connection in the middle of the body in this share of its answers.
    Cut(f64),
    /// Answers this share of its requests with status 500.
    Error(f64),
    /// Alternates between no failure and the inner mode, each for this period.
    Flap(Duration, Box<FailureMode>),
    /// No failure.
    None,
    /// Accepts this share of its requests and never answers them.
    Silent(f64),
    /// Multiplies the processing time by this factor.
    Slow(f64),
}

impl FailureMode {
    /// Mode in effect at `uptime`, with [`Self::Flap`] resolved.
    pub fn at(&self, uptime: Duration) -> &FailureMode {
        match self {
            Self::Flap(period, inner) => {
                let phase = uptime.as_millis() / period.as_millis().max(1);
                if phase.is_multiple_of(2) { &FailureMode::None } else { inner.at(uptime) }
            }
            other => other,
        }
    }
}

impl FromStr for FailureMode {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::FailureMode(text.to_owned());
        let (name, argument) = text.split_once(':').unwrap_or((text, ""));
        if name == "none" {
            return Ok(Self::None);
        }
        if name == "flap" {
            let (seconds, inner) = argument.split_once(':').ok_or_else(invalid)?;
            let seconds: f64 = seconds.parse().map_err(|_| invalid())?;
            let period = Duration::try_from_secs_f64(seconds).map_err(|_| invalid())?;
            return Ok(Self::Flap(period, Box::new(inner.parse()?)));
        }
        let number: f64 = argument.parse().map_err(|_| invalid())?;
        let is_share = (0.0..=1.0).contains(&number);
        match name {
            "cut" if is_share => Ok(Self::Cut(number)),
            "error" if is_share => Ok(Self::Error(number)),
            "silent" if is_share => Ok(Self::Silent(number)),
            "slow" if number >= 1.0 => Ok(Self::Slow(number)),
            _ => Err(invalid()),
        }
    }
}
