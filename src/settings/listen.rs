use std::net::SocketAddr;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Addresses that the process listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Callers' HTTP traffic; TCP. Needed by an entry.
    pub callers: Option<SocketAddr>,
    /// Links between our processes; UDP.
    pub links: SocketAddr,
    /// Status, submissions and announcements by HTTP; TCP.
    pub operators: Option<SocketAddr>,
    /// Addresses at which the interface takes orders: announcements, configurations, lists
    /// of entries, readiness.
    pub orders: Vec<SocketAddr>,
}

impl Listen {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let fields = Fields::open(yaml, mistakes, &["callers", "links", "operators", "orders"])?;
        let callers = fields.optional::<SocketAddr>("callers");
        let links = fields.required::<SocketAddr>("links");
        let orders = fields.several::<SocketAddr>("orders");
        let operators = match fields.yaml("operators") {
            None if !orders.is_empty() => None,
            _ => fields.required::<SocketAddr>("operators"),
        };
        // Links are UDP, so only the two TCP listeners can collide.
        if callers.is_some() && callers == operators {
            let line = fields.line_of("operators");
            let taken = callers.map(|address| address.to_string()).unwrap_or_default();
            mistakes.add(line, format!("`{taken}` is taken by `callers`; write another port"));
        }
        Some(Self { callers, links: links?, operators, orders })
    }
}
