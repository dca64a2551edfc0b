//! `hemlockfield member`: adds, replaces or removes a control and reports when it is done.

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

use super::EXIT_FINDING;
use super::Error;
use super::client;

/// Pause between two queries of the controls.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Options of `member`.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// operators' address of a control; may be repeated, to find the leader
    #[options(no_short)]
    pub node: Vec<SocketAddr>,
    /// operators' address of a new control, which runs without --found on an empty folder
    #[options(no_short)]
    pub new: Option<SocketAddr>,
    /// name of the control to remove, once the new one has caught up
    #[options(no_short)]
    pub remove: Option<NodeId>,
    /// seconds that the repair may take; run again, the command continues where it stopped
    #[options(no_short, default = "120")]
    pub patience: u64,
}

/// Part of a process's status that the command uses.
#[derive(Deserialize)]
struct ProcessStatus {
    id: NodeId,
    control: Option<Control>,
}

#[derive(Deserialize)]
struct Control {
    log: Option<Status>,
}

/// A new control and the id of its data folder.
struct NewControl {
    disk: DiskId,
    id: NodeId,
}

/// Next step of the replacement.
enum Step {
    /// Ask the leader for this change of membership.
    Change(String),
    /// Nothing is left to do: one more control may fail without loss.
    Repaired,
    /// Wait, for this reason.
    Wait(String),
}

/// Carries out a replacement step by step, and prints "repaired" only when the leader reports
/// that one more control may fail. Each step starts from the leader's current status, so a
/// change of leader, a lost answer or a second run does no harm.
pub(super) fn run(options: &Options) -> Result<ExitCode, Error> {
    if options.node.is_empty() {
        return Err(Error::Missing("--node"));
    }
    let deadline = Instant::now() + Duration::from_secs(options.patience);
    let mut new_control = None;
    let mut last_message = String::new();
    loop {
        let message = match advance(options, &mut new_control) {
            Ok(Some(message)) => message,
            Ok(None) => {
                println!("repaired: one more control may be lost");
                return Ok(ExitCode::SUCCESS);
            }
            Err(error) => error.to_string(),
        };
        if message != last_message {
            println!("{message}");
            last_message = message;
        }
        if Instant::now() >= deadline {
            println!("not repaired within `{}` s; run the same command again", options.patience);
            return Ok(ExitCode::from(EXIT_FINDING));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Queries the leader and requests at most one change. Returns what was done, or `None` when
/// nothing is left to do.
fn advance(
    options: &Options,
    new_control: &mut Option<NewControl>,
) -> Result<Option<String>, Error> {
    if let Some(address) = options.new.filter(|_| new_control.is_none()) {
        match read_new_control(address)? {
            Some(read) => *new_control = Some(read),
            None => return Ok(Some(format!("`{address}` has no data folder of a control yet"))),
        }
    }
    let Some((leader, status)) = find_leader(&options.node, options.new) else {
        return Ok(Some("no control leads at the addresses given".to_owned()));
    };
    match next_step(&status, new_control.as_ref(), options.remove.as_ref()) {
        Step::Change(query) => {
            let path = format!("/v1/members?{query}");
            let answer = client::ask(leader, Method::POST, &path, String::new())?;
            Ok(Some(format!("{query}: {}", answer.body.trim_end())))
        }
        Step::Repaired => Ok(None),
        Step::Wait(why) => Ok(Some(why)),
    }
}

/// Determines the next step. The old control is removed last, once the new one is a voter, which
/// it becomes only when it is up to date.
fn next_step(status: &Status, new_control: Option<&NewControl>, old: Option<&NodeId>) -> Step {
    let find = |id: &NodeId| status.members.iter().find(|member| member.node == *id);
    if let Some(NewControl { disk, id }) = new_control {
        match find(id) {
            None => return Step::Change(format!("add={id}&disk={disk}")),
            Some(found) if found.disk != *disk => {
                return Step::Wait(format!(
                    "`{id}` is a member under another data folder; give it a new name, or remove it first"
                ));
            }
            Some(found) if found.voter => (),
            Some(found) if found.up_to_date => return Step::Change(format!("promote={id}")),
            Some(found) => return Step::Wait(describe_lag(found)),
        }
    }
    if let Some(found) = old.and_then(find) {
        return Step::Change(format!("remove={}", found.node));
    }
    if status.tolerates_one_more_loss {
        return Step::Repaired;
    }
    let missing = status.members.iter().find(|member| member.voter && !member.up_to_date);
    Step::Wait(
        missing.map_or_else(|| "the last change is not committed yet".to_owned(), describe_lag),
    )
}

fn describe_lag(member: &Member) -> String {
    let name = &member.node;
    if member.silent { format!("`{name}` is silent") } else { format!("`{name}` catches up") }
}

fn read_new_control(address: SocketAddr) -> Result<Option<NewControl>, Error> {
    let status_of_new = read_status(address)?;
    let disk = status_of_new.control.and_then(|control| control.log).and_then(|log| log.disk);
    Ok(disk.map(|disk| NewControl { disk, id: status_of_new.id }))
}

/// The leader and its status. Addresses that can't be reached are skipped; if several controls
/// claim to lead, the one with the highest term counts.
fn find_leader(nodes: &[SocketAddr], new: Option<SocketAddr>) -> Option<(SocketAddr, Status)> {
    let mut leaders: Vec<(SocketAddr, Status)> = nodes
        .iter()
        .chain(&new)
        .filter_map(|address| {
            let log = read_status(*address).ok()?.control?.log?;
            (log.role == Role::Leader).then_some((*address, log))
        })
        .collect();
    leaders.sort_by_key(|(_, status)| status.term);
    leaders.pop()
}

fn read_status(address: SocketAddr) -> Result<ProcessStatus, Error> {
    let answer = client::ask(address, Method::GET, "/v1/status", String::new())?;
    let failed = |error: serde_json::Error| Error::Ask { address, reason: error.to_string() };
    serde_json::from_str(&answer.body).map_err(failed)
}
