use super::Scalar;

/// Protocol by which upstreams, callers and operators talk to a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Interface {
    /// The interface that hemlockfield defines itself.
    #[default]
    Native,
    /// The interface that the platform on which the fleet runs defines.
    Platform,
}

impl Scalar for Interface {
    const KIND: &'static str = "an interface";
    const ALLOWED: &'static str = "write `own` or `platform`";

    fn read(text: &str) -> Option<Self> {
        match text {
            "own" => Some(Self::Native),
            "platform" => Some(Self::Platform),
            _ => None,
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Native => "own".into(),
            Self::Platform => "platform".into(),
        }
    }
}
