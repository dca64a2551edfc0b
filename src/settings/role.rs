use super::Scalar;

/// Role of a process. One process may have both.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Keeps a replica of the durable state; requires a data folder.
    Control,
    /// Proxies callers' requests.
    Entry,
}

impl Scalar for Role {
    const KIND: &'static str = "a role";
    const ALLOWED: &'static str = "write `control` or `entry`";

    fn read(text: &str) -> Option<Self> {
        match text {
            "control" => Some(Self::Control),
            "entry" => Some(Self::Entry),
            _ => None,
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Control => "control".into(),
            Self::Entry => "entry".into(),
        }
    }
}
