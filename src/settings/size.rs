use super::Scalar;
use super::scalar::parse_decimal;

const KIB: f64 = 1024.0;

/// A number of bytes, written with a unit, such as `64KiB`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Size(pub u64);

impl Scalar for Size {
    const KIND: &'static str = "a size";
    const ALLOWED: &'static str =
        "write a number with a unit (`B`, `KiB`, `MiB` or `GiB`), such as `64KiB`";

    fn read(text: &str) -> Option<Self> {
        let split = text.find(|symbol: char| symbol.is_ascii_alphabetic())?;
        let number = parse_decimal(&text[..split])?;
        let unit = match &text[split..] {
            "B" => 1.0,
            "KiB" => KIB,
            "MiB" => KIB * KIB,
            "GiB" => KIB * KIB * KIB,
            _ => return None,
        };
        Some(Self((number * unit) as u64))
    }

    fn show(&self) -> String {
        let kib = KIB as u64;
        match self.0 {
            bytes if bytes % kib != 0 => format!("{bytes}B"),
            bytes if bytes % (kib * kib) != 0 => format!("{}KiB", bytes / kib),
            bytes if bytes % (kib * kib * kib) != 0 => format!("{}MiB", bytes / (kib * kib)),
            bytes => format!("{}GiB", bytes / (kib * kib * kib)),
        }
    }
}
