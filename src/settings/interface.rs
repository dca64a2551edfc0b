use super::Scalar;

/// How the world outside speaks to a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Interface {
    /// The product's own interface.
    #[default]
    Own,
    /// The interface of the platform that the fleet runs on.
    Platform,
}

impl Scalar for Interface {
    const KIND: &'static str = "an interface";
    const ALLOWED: &'static str = "write `own` or `platform`";

    fn read(text: &str) -> Option<Self> {
        match text {
            "own" => Some(Self::Own),
            "platform" => Some(Self::Platform),
            _ => None,
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Own => "own".into(),
            Self::Platform => "platform".into(),
        }
    }
}
