//! `hemlockfield member`: replaces a control, and says when the repair is done.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde::Deserialize;

use crate::id::NodeId;
use crate::quorum::DiskId;
use crate::quorum::Member;
use crate::quorum::Role;
use crate::quorum::Status;

use super::Error;
use super::FINDING;
use super::client;

/// Pause between two looks at the controls.
const LOOK: Duration = Duration::from_millis(250);

/// Options of `member`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operators' address of a control; may be repeated, to find the one that leads
    #[options(no_short)]
    pub node: Vec<SocketAddr>,
    /// operators' address of a new control, which runs without --found on an empty folder
    #[options(no_short)]
    pub new: Option<SocketAddr>,
    /// name of the control to remove, once the new one has caught up
    #[options(no_short)]
    pub remove: Option<NodeId>,
    /// seconds that the repair may take; asked again, the command goes on where it was
    #[options(no_short, default = "120")]
    pub patience: u64,
}

/// What the command reads of a process's status.
#[derive(Deserialize)]
struct Told {
    id: NodeId,
    control: Option<Control>,
}

#[derive(Deserialize)]
struct Control {
    log: Option<Status>,
}

/// A new control and its folder.
struct Newcomer {
    disk: DiskId,
    id: NodeId,
}

/// What is to be done next.
enum Step {
    /// Ask the leader for a change.
    Change(String),
    /// A further loss would lose nothing.
    Repaired,
    /// Wait, for the reason given.
    Wait(String),
}

/// Carries a replacement through, one step at a time, and says "repaired" only when the
/// leader counts one more up-to-date voter than a majority. Each round starts from what the
/// leader says then, so that a change of leader, a lost answer or a second run does no harm.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.node.is_empty() {
        return Err(Error::Missing("--node"));
    }
    let until = Instant::now() + Duration::from_secs(options.patience);
    let mut newcomer = None;
    let mut last = String::new();
    loop {
        let said = match round(options, &mut newcomer) {
            Ok(Some(said)) => said,
            Ok(None) => {
                println!("repaired: one more control may be lost");
                return Ok(ExitCode::SUCCESS);
            }
            Err(error) => error.to_string(),
        };
        if said != last {
            println!("{said}");
            last = said;
        }
        if Instant::now() >= until {
            println!("not repaired within `{}` s; run the same command again", options.patience);
            return Ok(ExitCode::from(FINDING));
        }
        std::thread::sleep(LOOK);
    }
}

/// One look and at most one change; gives what was done, `None` when nothing is left.
fn round(options: &Options, newcomer: &mut Option<Newcomer>) -> Result<Option<String>, Error> {
    if let Some(address) = options.new.filter(|_| newcomer.is_none()) {
        match read_newcomer(address)? {
            Some(read) => *newcomer = Some(read),
            None => return Ok(Some(format!("`{address}` has no data folder of a control yet"))),
        }
    }
    let Some((leader, status)) = find_leader(&options.node, options.new) else {
        return Ok(Some("no control leads at the addresses given".to_owned()));
    };
    match next(&status, newcomer.as_ref(), options.remove.as_ref()) {
        Step::Change(query) => {
            let path = format!("/v1/members?{query}");
            let answer = client::ask(leader, Method::POST, &path, String::new())?;
            Ok(Some(format!("{query}: {}", answer.body.trim_end())))
        }
        Step::Repaired => Ok(None),
        Step::Wait(why) => Ok(Some(why)),
    }
}

/// The old control goes last: before that, the new one must count and hold everything.
fn next(status: &Status, newcomer: Option<&Newcomer>, old: Option<&NodeId>) -> Step {
    let find = |id: &NodeId| status.members.iter().find(|member| member.node == *id);
    if let Some(Newcomer { disk, id }) = newcomer {
        match find(id) {
            None => return Step::Change(format!("add={id}&disk={disk}")),
            Some(found) if found.disk != *disk => {
                return Step::Wait(format!(
                    "`{id}` is a member under another data folder; give it a new name, or remove it first"
                ));
            }
            Some(found) if found.voter => (),
            Some(found) if found.up_to_date => return Step::Change(format!("promote={id}")),
            Some(found) => return Step::Wait(behind(found)),
        }
    }
    if let Some(found) = old.and_then(find) {
        return Step::Change(format!("remove={}", found.node));
    }
    if status.tolerates_one_more_loss {
        return Step::Repaired;
    }
    let missing = status.members.iter().find(|member| member.voter && !member.up_to_date);
    Step::Wait(missing.map_or_else(|| "the last change is not committed yet".to_owned(), behind))
}

fn behind(member: &Member) -> String {
    let name = &member.node;
    if member.silent { format!("`{name}` is silent") } else { format!("`{name}` catches up") }
}

fn read_newcomer(address: SocketAddr) -> Result<Option<Newcomer>, Error> {
    let told = read(address)?;
    let disk = told.control.and_then(|control| control.log).and_then(|log| log.disk);
    Ok(disk.map(|disk| Newcomer { disk, id: told.id }))
}

/// The control that leads, with its status; one that is lost among the addresses is left out.
fn find_leader(nodes: &[SocketAddr], new: Option<SocketAddr>) -> Option<(SocketAddr, Status)> {
    let mut leaders: Vec<(SocketAddr, Status)> = nodes
        .iter()
        .chain(&new)
        .filter_map(|address| {
            let log = read(*address).ok()?.control?.log?;
            (log.role == Role::Leader).then_some((*address, log))
        })
        .collect();
    leaders.sort_by_key(|(_, status)| status.term);
    leaders.pop()
}

fn read(address: SocketAddr) -> Result<Told, Error> {
    let answer = client::ask(address, Method::GET, "/v1/status", String::new())?;
    let failed = |error: serde_json::Error| Error::Ask { address, reason: error.to_string() };
    serde_json::from_str(&answer.body).map_err(failed)
}
