use compact_str::CompactString;

use crate::settings::Scalar;

/// Pattern of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Host {
    /// All hosts below a domain; the domain is stored with a leading dot.
    Subdomain(CompactString),
    /// A single host.
    Exact(CompactString),
}

impl Host {
    /// Whether `host`, in lower case and without port, matches.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            Self::Subdomain(domain) => host.len() > domain.len() && host.ends_with(domain.as_str()),
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
        let is_allowed = |symbol: char| symbol.is_ascii_alphanumeric() || "-._".contains(symbol);
        if name.is_empty() || !name.chars().all(is_allowed) || name.starts_with('.') {
            return None;
        }
        let name = name.to_lowercase();
        match text.starts_with("*.") {
            true => Some(Self::Subdomain(format!(".{name}").into())),
            false => Some(Self::Exact(name.into())),
        }
    }

    fn show(&self) -> String {
        match self {
            Self::Subdomain(domain) => format!("*{domain}"),
            Self::Exact(name) => name.to_string(),
        }
    }
}

/// Pattern of paths.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Path {
    /// A single path.
    Exact(CompactString),
    /// All paths that start with this prefix, which ends with a slash.
    Prefix(CompactString),
}

impl Path {
    /// Whether `path`, without query, matches.
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
