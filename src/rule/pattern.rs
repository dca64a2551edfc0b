use compact_str::CompactString;

use crate::settings::Scalar;

/// Which hosts a rule is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Host {
    /// Hosts below a domain, kept with its leading dot.
    Below(CompactString),
    /// This host.
    Exact(CompactString),
}

impl Host {
    /// Whether `host` (lower case, no port) is meant.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            Self::Below(domain) => host.len() > domain.len() && host.ends_with(domain.as_str()),
            Self::Exact(name) => host == name,
        }
    }
}

impl Scalar for Host {
    const KIND: &'static str = "a host";
    const ALLOWED: &'static str =
        "write a name without port, such as `survey.example`, or `*.example` for all below it";

    fn read(text: &str) -> Option<Self> {
        let name = text.strip_prefix("*.").unwrap_or(text);
        let plain = |symbol: char| symbol.is_ascii_alphanumeric() || "-._".contains(symbol);
        if name.is_empty() || !name.chars().all(plain) || name.starts_with('.') {
            return None;
        }
        let name = name.to_lowercase();
        match text.starts_with("*.") {
            true => Some(Self::Below(format!(".{name}").into())),
            false => Some(Self::Exact(name.into())),
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Below(domain) => format!("*{domain}"),
            Self::Exact(name) => name.to_string(),
        }
    }
}

/// Which paths a rule is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Path {
    /// This path.
    Exact(CompactString),
    /// Paths that start with this text, which ends with a slash.
    Prefix(CompactString),
}

impl Path {
    /// Whether `path` (without query) is meant.
    pub fn matches(&self, path: &str) -> bool {
        match self {
            Self::Exact(exact) => path == exact,
            Self::Prefix(prefix) => path.starts_with(prefix.as_str()),
        }
    }
}

impl Scalar for Path {
    const KIND: &'static str = "a path";
    const ALLOWED: &'static str =
        "write `/hulls/list`, or `/hulls/*` for all below; `*` stands only after the last `/`";

    fn read(text: &str) -> Option<Self> {
        let prefix = text.strip_suffix('*');
        let plain = prefix.unwrap_or(text);
        if !plain.starts_with('/') || plain.contains(['*', '?', '#', ' ']) {
            return None;
        }
        match prefix {
            Some(prefix) => prefix.ends_with('/').then(|| Self::Prefix(prefix.into())),
            None => Some(Self::Exact(text.into())),
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Exact(path) => path.to_string(),
            Self::Prefix(prefix) => format!("{prefix}*"),
        }
    }
}
