//! A small site on loopback: controls, entries and stand-ins.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::task;
use rand::Rng;

use crate::keys::Authority;
use crate::node::Node;
use crate::settings::Settings;
use crate::upstream::Server;
use crate::upstream::Setup;

use super::Error;
use super::Ports;

const DOMAINS: [&str; 4] = ["halle-nord", "halle-sued", "keller-alt", "werft-ost"];
/// Longest that the site may take to be ready.
const READY: Duration = Duration::from_secs(10);
/// How long the demo's certificates hold.
const VALID: Duration = Duration::from_secs(3600);
const CONTROLS: usize = 3;
const ENTRIES: usize = 3;

/// Rules of the demo: lookups that may be repeated, and sign-offs that may not.
pub(super) const RULES: &str = "
services:
  hull-register: {floor: 60%, sensitivity: 1.0}
classes:
  - {name: signing, weight: 4, wait: 2s}
  - {name: lookup, weight: 3, wait: 1s}
rules:
  - name: sign-off
    when: {path: /findings/*, method: POST}
    then:
      route: {service: hull-register}
      terms: {class: signing, deadline: 5s, idempotent: false, key: {header: idempotency-key}}
  - name: lookup
    when: {path: /hulls/*}
    then:
      route: {service: hull-register}
      terms: {class: lookup, deadline: 5s, idempotent: true, hedge: true}
";

struct Plan {
    callers: SocketAddr,
    id: String,
    links: SocketAddr,
    operators: SocketAddr,
    role: &'static str,
}

pub(super) struct Site {
    pub(super) entries: Vec<Node>,
    pub(super) controls: Vec<Node>,
    pub(super) events: Vec<PathBuf>,
}

impl Site {
    pub(super) async fn start(folder: &Path) -> Result<Self, Error> {
        let mut ports = Ports::new(rand::rng());
        let mut plans = Vec::new();
        for at in 1..=CONTROLS {
            plans.push(Plan::new("control", at, &mut ports)?);
        }
        for at in 1..=ENTRIES {
            plans.push(Plan::new("entry", at, &mut ports)?);
        }
        make_keys(folder, &plans)?;
        let mut site = Self { entries: Vec::new(), controls: Vec::new(), events: Vec::new() };
        for plan in &plans {
            let settings = Settings::parse(&plan.id, &plan.settings(folder, &plans))?;
            site.events.extend(settings.timeline.clone());
            let is_control = plan.role == "control";
            let node = Node::start(settings, is_control).await?;
            if is_control { &mut site.controls } else { &mut site.entries }.push(node);
        }
        Ok(site)
    }

    /// Submits the rules, and waits until each entry has them in force.
    pub(super) async fn submit(&self) -> Result<(), Error> {
        let version = crate::config::Version::new(1, "demo".into(), RULES);
        let started = Instant::now();
        while !self.entries[0].submit(version.clone()).await {
            check(started, "a configuration is accepted")?;
        }
        for entry in &self.entries {
            while entry.configuration_number() != Some(1) {
                check(started, "the configuration is in force")?;
                task::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until each entry may use `count` upstreams of the service.
    pub(super) async fn wait_for_upstreams(&self, count: usize) -> Result<(), Error> {
        let started = Instant::now();
        for entry in &self.entries {
            while entry.upstream_count("hull-register") < count {
                check(started, "the upstreams are announced")?;
                task::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Stand-ins that announce themselves to the entries of this site.
    pub(super) async fn stands(&self, count: usize) -> Result<Vec<Server>, Error> {
        let entries: Vec<SocketAddr> = self.entries.iter().map(Node::operator_address).collect();
        stands(count, &entries).await
    }

    pub(super) fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().filter_map(Node::caller_address).collect()
    }

    /// Ends all processes at once: nothing is in flight any more.
    pub(super) async fn stop(self) {
        for node in self.entries.into_iter().chain(self.controls) {
            node.handle().stop_now();
            node.wait().await;
        }
    }
}

/// Stand-ins, of which one is old: three times slower, and sound.
pub(super) async fn stands(count: usize, entries: &[SocketAddr]) -> Result<Vec<Server>, Error> {
    let mut stands = Vec::new();
    for at in 0..count {
        let domain = DOMAINS[at % DOMAINS.len()];
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut setup = Setup::new(&format!("hull-{}", at + 1), "hull-register", domain, listen);
        setup.entries = entries.to_vec();
        setup.processing_time = Duration::from_millis(if at == 0 { 30 } else { 10 });
        stands.push(Server::start(setup).await?);
    }
    Ok(stands)
}

impl Plan {
    fn new(role: &'static str, at: usize, ports: &mut Ports<impl Rng>) -> Result<Self, Error> {
        let id = format!("{role}-{at}");
        let (callers, operators, links) = (ports.draw()?, ports.draw()?, ports.draw()?);
        Ok(Self { callers, id, links, operators, role })
    }

    fn domain(&self) -> &'static str {
        let last = self.id.bytes().last().unwrap_or(b'0');
        DOMAINS[usize::from(last - b'0') % DOMAINS.len()]
    }

    fn settings(&self, folder: &Path, plans: &[Plan]) -> String {
        let (id, path) = (&self.id, folder.display());
        let mut text = format!(
            "node: {{id: {id}, region: regensburg, failure_domain: {}}}\n\
             roles: [{}]\n\
             listen: {{callers: {}, operators: {}, links: {}}}\n\
             data: {path}/{id}\n\
             keys: {{authority: {path}/keys/{id}/authority.pem, \
             identity: {path}/keys/{id}/identity.pem}}\n\
             timeline: {{file: {path}/{id}.jsonl}}\n\
             peers:\n",
            self.domain(),
            self.role,
            self.callers,
            self.operators,
            self.links,
        );
        for peer in plans.iter().filter(|peer| peer.id != self.id) {
            text += &format!(
                "  - {{id: {}, region: regensburg, failure_domain: {}, roles: [{}], links: {}}}\n",
                peer.id,
                peer.domain(),
                peer.role,
                peer.links
            );
        }
        text
    }
}

fn make_keys(folder: &Path, plans: &[Plan]) -> Result<(), Error> {
    let keys = folder.join("keys");
    fs::create_dir_all(&keys).map_err(|source| Error::Io { what: "make a folder", source })?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let authority = Authority::create(&keys, now)?;
    for plan in plans {
        authority.issue(&keys.join(&plan.id), &plan.id, now, VALID)?;
    }
    Ok(())
}

fn check(started: Instant, what: &'static str) -> Result<(), Error> {
    if started.elapsed() > READY {
        return Err(Error::Stuck(what));
    }
    Ok(())
}
