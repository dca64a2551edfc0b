use std::net::SocketAddr;

use super::Fields;
use super::Mistakes;
use super::Yaml;

/// Addresses that the process listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
    /// TCP address for callers' HTTP requests; required for an entry.
    pub callers: Option<SocketAddr>,
    /// UDP address for links between processes of the fleet.
    pub links: SocketAddr,
    /// TCP address for status, submissions and announcements by HTTP.
    pub operators: Option<SocketAddr>,
    /// TCP address at which an entry takes requests that other entries can't serve.
    pub peers: Option<SocketAddr>,
    /// Addresses at which the configured interface serves announcements, configurations, lists
    /// of entries and readiness.
    pub orders: Vec<SocketAddr>,
}

impl Listen {
    pub(super) fn read(yaml: &Yaml, mistakes: &Mistakes) -> Option<Self> {
        let allowed = ["callers", "links", "operators", "orders", "peers"];
        let fields = Fields::open(yaml, mistakes, &allowed)?;
        let callers = fields.optional::<SocketAddr>("callers");
        let links = fields.required::<SocketAddr>("links");
        let orders = fields.values::<SocketAddr>("orders");
        let peers = fields.optional::<SocketAddr>("peers");
        let operators = match fields.yaml("operators") {
            None if !orders.is_empty() => None,
            _ => fields.required::<SocketAddr>("operators"),
        };
        // Links use UDP, so they can't collide with the TCP listeners.
        if callers.is_some() && callers == operators {
            let line = fields.line_of("operators");
            let taken = callers.map(|address| address.to_string()).unwrap_or_default();
            mistakes.add(line, format!("`{taken}` is taken by `callers`; write another port"));
        }
        if peers.is_some() && peers == callers {
            let line = fields.line_of("peers");
            let text = "`peers` and `callers` are the same address; write another port";
            mistakes.add(line, text);
        }
        Some(Self { callers, links: links?, operators, orders, peers })
    }
}
