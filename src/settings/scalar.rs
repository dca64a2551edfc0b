use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;

/// A typed value that a YAML scalar can hold.
pub trait Scalar: Sized {
    /// Kind of value, such as `a duration`.
    const KIND: &'static str;
    /// Instruction how to write such a value, for mistakes.
    const ALLOWED: &'static str;

    /// Parses the text; `None` if it is not of this kind.
    fn read(text: &str) -> Option<Self>;

    /// Formats the value as it is written in a file.
    fn show(&self) -> String;
}

impl Scalar for Duration {
    const KIND: &'static str = "a duration";
    const ALLOWED: &'static str =
        "write a number with a unit (`ms`, `s`, `m` or `h`), such as `250ms`";

    fn read(text: &str) -> Option<Self> {
        let split = text.find(|symbol: char| symbol.is_ascii_alphabetic())?;
        let number: f64 = parse_decimal(&text[..split])?;
        let unit = match &text[split..] {
            "ms" => 0.001,
            "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            _ => return None,
        };
        Duration::try_from_secs_f64(number * unit).ok()
    }

    fn show(&self) -> String {
        let millis = self.as_millis();
        let whole = |unit: u128| millis.is_multiple_of(unit);
        match millis {
            _ if !whole(1000) => format!("{millis}ms"),
            0 => "0s".into(),
            _ if whole(3_600_000) => format!("{}h", millis / 3_600_000),
            _ if whole(60_000) => format!("{}m", millis / 60_000),
            _ => format!("{}s", millis / 1000),
        }
    }
}

impl Scalar for CompactString {
    const KIND: &'static str = "a text";
    const ALLOWED: &'static str = "write at least one character";

    fn read(text: &str) -> Option<Self> {
        (!text.trim().is_empty()).then(|| text.into())
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Scalar for PathBuf {
    const KIND: &'static str = "a path";
    const ALLOWED: &'static str = "write a file or folder, such as `data/control-1`";

    fn read(text: &str) -> Option<Self> {
        (!text.trim().is_empty()).then(|| text.into())
    }

    fn show(&self) -> String {
        self.display().to_string()
    }
}

impl Scalar for SocketAddr {
    const KIND: &'static str = "an address";
    const ALLOWED: &'static str = "write an IP number and a port, such as `127.0.0.1:7101`";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Scalar for bool {
    const KIND: &'static str = "a truth value";
    const ALLOWED: &'static str = "write `true` or `false`";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Scalar for u16 {
    const KIND: &'static str = "a small whole number";
    const ALLOWED: &'static str = "write digits only, up to `65535`";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Scalar for usize {
    const KIND: &'static str = "a whole number";
    const ALLOWED: &'static str = "write digits only, such as `64`";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Scalar for f64 {
    const KIND: &'static str = "a number";
    const ALLOWED: &'static str = "write digits, with a point if need be, such as `21.5`";

    fn read(text: &str) -> Option<Self> {
        parse_decimal(text)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

/// Parses a plain decimal number without sign and exponent, neither `inf` nor `nan`.
pub(super) fn parse_decimal(text: &str) -> Option<f64> {
    let plain = text.chars().all(|symbol| symbol.is_ascii_digit() || symbol == '.');
    if plain { text.parse().ok() } else { None }
}
