//! Builds the parts of a process from its settings.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::boundary::Boundary;
use crate::boundary::Native;
use crate::clock::Moment;
use crate::config;
use crate::controller::Controller;
use crate::feed::Capacity;
use crate::fleet;
use crate::id::NodeId;
use crate::platform::Platform;
use crate::quorum;
use crate::quorum::Membership;
use crate::replay::Recorder;
use crate::role;
use crate::settings::Interface;
use crate::settings::Role;
use crate::settings::Settings;
use crate::storage::Folder;
use crate::storage::Log;

use super::Core;
use super::Error;
use super::config_store::ConfigStore;
use super::core::Setup;
use super::state_machine::StateMachine;
use super::thread::Opener;

/// Timing of the log where entries subscribe to the controls. A change has to be in force
/// within seconds even across an election, which takes at most twice the election timeout.
const SUBSCRIBED_TIMING: quorum::Timing =
    quorum::Timing { election: Duration::from_millis(700), heartbeat: Duration::from_millis(150) };

/// What the control thread runs on.
pub(super) struct Components {
    pub(super) config_store: Option<ConfigStore>,
    pub(super) log: Option<Log>,
    pub(super) state: Box<dyn StateMachine>,
    pub(super) opener: Option<Opener>,
}

/// Selects the external interface of the process.
pub(super) fn select_boundary(settings: &Settings) -> Arc<dyn Boundary> {
    match settings.interface {
        Interface::Native => Arc::new(Native),
        Interface::Platform => Arc::new(Platform),
    }
}

/// Builds the control state of a process and opens its storage.
pub(super) fn build(
    now: Moment,
    settings: &Settings,
    callers: Option<SocketAddr>,
    is_founding: bool,
    recorder: Recorder,
    boundary: Arc<dyn Boundary>,
) -> Result<Components, Error> {
    if settings.seeds.is_empty() {
        return build_core(now, settings, callers, is_founding, recorder);
    }
    let founders = founders(settings);
    let opened = open_controller(settings, founders.clone(), false)?;
    let (controller, log) =
        opened.map_or((None, None), |(controller, log)| (Some(controller), Some(log)));
    let setup = role::Setup {
        boundary,
        callers: callers.unwrap_or_else(unspecified_address),
        domain: settings.node.failure_domain.clone(),
        id: settings.node.id.clone(),
        is_control: settings.has_role(Role::Control),
        is_entry: settings.has_role(Role::Entry),
        peers: settings.listen.peers.filter(|_| settings.has_role(Role::Entry)),
        controller,
        room: Capacity::new(settings.limits.processor, settings.limits.link),
        retry_window: settings.retry.window,
        seed: rand::random(),
        seeds: seed_ids(settings),
    };
    let settings = settings.clone();
    let opener: Opener = Box::new(move || {
        let opened = open_controller(&settings, None, false)?;
        opened.ok_or_else(|| Error::NoLog)
    });
    let state = Box::new(role::Core::new(now, setup));
    Ok(Components { config_store: None, log, state, opener: Some(opener) })
}

fn build_core(
    now: Moment,
    settings: &Settings,
    callers: Option<SocketAddr>,
    is_founding: bool,
    recorder: Recorder,
) -> Result<Components, Error> {
    let (config_store, stored) = open_config_store(settings)?;
    let founders = is_founding.then(|| Membership::founding(controls(settings)));
    let opened = open_controller(settings, founders, is_founding)?;
    let (controller, log) =
        opened.map_or((None, None), |(controller, log)| (Some(controller), Some(log)));
    let setup = Setup {
        controls: controls(settings),
        stored,
        me: own_record(settings, callers),
        controller,
        recorder,
        seeds: seeds(settings),
        seed: rand::random(),
    };
    Ok(Components { config_store, log, state: Box::new(Core::new(now, setup)), opener: None })
}

/// Ids of the controls that are the seeds: their IP addresses.
pub(super) fn seed_ids(settings: &Settings) -> Vec<NodeId> {
    let ids = settings.seeds.iter().map(|seed| NodeId::from(seed.ip().to_string()));
    ids.collect()
}

/// First members of the quorum, on a seed that starts for the first time.
fn founders(settings: &Settings) -> Option<Membership> {
    let ids = seed_ids(settings);
    let founds = settings.first_start && ids.contains(&settings.node.id);
    founds.then(|| Membership::founding(ids))
}

fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn own_record(settings: &Settings, callers: Option<SocketAddr>) -> fleet::Record {
    let roles: BTreeSet<fleet::Role> = settings.roles.iter().map(role).collect();
    fleet::Record {
        id: settings.node.id.clone(),
        incarnation: super::incarnation(),
        meta: fleet::Meta {
            callers: callers.unwrap_or_else(unspecified_address),
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
    let own = settings.has_role(Role::Control).then(|| settings.node.id.clone());
    let peers = settings.peers.iter().filter(|peer| peer.roles.contains(&Role::Control));
    own.into_iter().chain(peers.map(|peer| peer.id.clone())).collect()
}

fn seeds(settings: &Settings) -> Vec<fleet::Seed> {
    let seed =
        |peer: &crate::settings::Peer| fleet::Seed { address: peer.links, id: peer.id.clone() };
    settings.peers.iter().map(seed).collect()
}

fn open_config_store(
    settings: &Settings,
) -> Result<(Option<ConfigStore>, Option<config::Version>), Error> {
    let Some(data) = &settings.data else { return Ok((None, None)) };
    let (config_store, stored) = ConfigStore::open(&data.join("held"))?;
    Ok((Some(config_store), stored))
}

/// Opens a control's log; `None` on other processes. With `is_founding`, a folder that holds a log
/// already is an error.
fn open_controller(
    settings: &Settings,
    founders: Option<Membership>,
    is_founding: bool,
) -> Result<Option<(Controller, Log)>, Error> {
    let Some(data) = settings.data.as_deref().filter(|_| settings.has_role(Role::Control)) else {
        return Ok(None);
    };
    let folder = data.join("log");
    let (log, recovered) = open_log(&folder)?;
    let mut setup = quorum::Setup::new(settings.node.id.clone());
    if !settings.seeds.is_empty() {
        setup.timing = SUBSCRIBED_TIMING;
    }
    if recovered.identity.is_some() {
        if is_founding {
            return Err(Error::AlreadyFounded(folder));
        }
    } else {
        setup.founders = founders;
    }
    let controller = Controller::new(setup, recovered, rand::random());
    Ok(Some((controller.with_quota_window(settings.quota.window), log)))
}

fn open_log(folder: &Path) -> Result<(Log, quorum::Recovered), Error> {
    let disk = Folder::open(folder)?;
    Ok(Log::open(Box::new(disk))?)
}
