//! What a process is made of, by its settings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::boundary::Boundary;
use crate::boundary::Own;
use crate::clock::Moment;
use crate::config;
use crate::feed::Capacity;
use crate::fleet;
use crate::id::NodeId;
use crate::platform::Platform;
use crate::quorum;
use crate::quorum::Membership;
use crate::replay::Recorder;
use crate::settings::Interface;
use crate::settings::Role;
use crate::settings::Settings;
use crate::storage::Folder;
use crate::storage::Log;

use super::Controller;
use super::Core;
use super::Error;
use super::config_store::ConfigStore;
use super::core::Setup;
use super::feed_core;
use super::feed_core::FeedCore;
use super::machine::Machine;
use super::thread::Opener;

/// Times of the log where entries follow the controls: a change has to be in force within
/// seconds also across an election, which takes twice the longer one at the most.
const ATTACHED: quorum::Timing =
    quorum::Timing { election: Duration::from_millis(700), heartbeat: Duration::from_millis(150) };

/// All that control works on.
pub(super) struct Parts {
    pub(super) config_store: Option<ConfigStore>,
    pub(super) log: Option<Log>,
    pub(super) machine: Box<dyn Machine>,
    pub(super) opener: Option<Opener>,
}

/// How the world outside speaks to this process.
pub(super) fn boundary(settings: &Settings) -> Arc<dyn Boundary> {
    match settings.interface {
        Interface::Own => Arc::new(Own),
        Interface::Platform => Arc::new(Platform),
    }
}

/// Makes control's part of a process.
pub(super) fn parts(
    now: Moment,
    settings: &Settings,
    callers: Option<SocketAddr>,
    found: bool,
    recorder: Recorder,
    boundary: Arc<dyn Boundary>,
) -> Result<Parts, Error> {
    if settings.seeds.is_empty() {
        return own_parts(now, settings, callers, found, recorder);
    }
    let founders = founders(settings);
    let opened = controller(settings, founders.clone(), false)?;
    let (controller, log) =
        opened.map_or((None, None), |(controller, log)| (Some(controller), Some(log)));
    let setup = feed_core::Setup {
        boundary,
        callers: callers.unwrap_or_else(nowhere),
        domain: settings.node.failure_domain.clone(),
        id: settings.node.id.clone(),
        is_control: settings.has(Role::Control),
        is_entry: settings.has(Role::Entry),
        controller,
        room: Capacity::new(settings.limits.processor, settings.limits.link),
        retry_window: settings.retry.window,
        seed: rand::random(),
        seeds: seed_ids(settings),
    };
    let settings = settings.clone();
    let opener: Opener = Box::new(move || {
        let opened = self::controller(&settings, None, false)?;
        opened.ok_or_else(|| Error::NoLog)
    });
    let machine = Box::new(FeedCore::new(now, setup));
    Ok(Parts { config_store: None, log, machine, opener: Some(opener) })
}

fn own_parts(
    now: Moment,
    settings: &Settings,
    callers: Option<SocketAddr>,
    found: bool,
    recorder: Recorder,
) -> Result<Parts, Error> {
    let (config_store, kept) = config_store(settings)?;
    let founders = found.then(|| Membership::founding(controls(settings)));
    let opened = controller(settings, founders, found)?;
    let (controller, log) =
        opened.map_or((None, None), |(controller, log)| (Some(controller), Some(log)));
    let setup = Setup {
        controls: controls(settings),
        kept,
        me: me(settings, callers),
        controller,
        recorder,
        seeds: seeds(settings),
        seed: rand::random(),
    };
    Ok(Parts { config_store, log, machine: Box::new(Core::new(now, setup)), opener: None })
}

/// Ids of the controls that are known from the start: their addresses.
pub(super) fn seed_ids(settings: &Settings) -> Vec<NodeId> {
    let ids = settings.seeds.iter().map(|seed| NodeId::from(seed.ip().to_string()));
    ids.collect()
}

/// The first members of the log, at those of them that start for the first time.
fn founders(settings: &Settings) -> Option<Membership> {
    let ids = seed_ids(settings);
    let founds = settings.first_start && ids.contains(&settings.node.id);
    founds.then(|| Membership::founding(ids))
}

fn nowhere() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn me(settings: &Settings, callers: Option<SocketAddr>) -> fleet::Record {
    let roles: BTreeSet<fleet::Role> = settings.roles.iter().map(role).collect();
    fleet::Record {
        id: settings.node.id.clone(),
        incarnation: super::incarnation(),
        meta: fleet::Meta {
            callers: callers.unwrap_or_else(nowhere),
            config: 0,
            domain: settings.node.failure_domain.clone(),
            links: settings.listen.links,
            region: settings.node.region.clone(),
            roles,
            state: fleet::State::Starting,
        },
    }
}

fn role(role: &Role) -> fleet::Role {
    match role {
        Role::Control => fleet::Role::Control,
        Role::Entry => fleet::Role::Entry,
    }
}

fn controls(settings: &Settings) -> Vec<NodeId> {
    let own = settings.has(Role::Control).then(|| settings.node.id.clone());
    let peers = settings.peers.iter().filter(|peer| peer.roles.contains(&Role::Control));
    own.into_iter().chain(peers.map(|peer| peer.id.clone())).collect()
}

fn seeds(settings: &Settings) -> Vec<fleet::Seed> {
    let seed =
        |peer: &crate::settings::Peer| fleet::Seed { address: peer.links, id: peer.id.clone() };
    settings.peers.iter().map(seed).collect()
}

fn config_store(
    settings: &Settings,
) -> Result<(Option<ConfigStore>, Option<config::Version>), Error> {
    let Some(data) = &settings.data else { return Ok((None, None)) };
    let (config_store, kept) = ConfigStore::open(&data.join("held"))?;
    Ok((Some(config_store), kept))
}

/// Opens a control's log. `found` refuses a folder that has one already.
fn controller(
    settings: &Settings,
    founders: Option<Membership>,
    found: bool,
) -> Result<Option<(Controller, Log)>, Error> {
    let Some(data) = settings.data.as_deref().filter(|_| settings.has(Role::Control)) else {
        return Ok(None);
    };
    let folder = data.join("log");
    let (log, recovered) = open(&folder)?;
    let mut setup = quorum::Setup::new(settings.node.id.clone());
    if !settings.seeds.is_empty() {
        setup.timing = ATTACHED;
    }
    if recovered.identity.is_some() {
        if found {
            return Err(Error::Founded(folder));
        }
    } else {
        setup.founders = founders;
    }
    let controller = Controller::new(setup, recovered, rand::random());
    Ok(Some((controller.with_quota_window(settings.quota.window), log)))
}

fn open(folder: &Path) -> Result<(Log, quorum::Recovered), Error> {
    let disk = Folder::open(folder)?;
    Ok(Log::open(Box::new(disk))?)
}
