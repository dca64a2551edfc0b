//! Repair of the members without a person: which change comes next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Change;
use super::DiskId;
use super::Member;
use super::Status;
use crate::id::NodeId;

/// A voter that has been silent for so long is taken out once others can stand in: longer
/// than a restart, or than a usual freeze, shorter than the pause between two losses.
const SILENT: Duration = Duration::from_secs(6);
/// Voters that are always kept: with fewer a single loss stops the log.
const FEWEST: usize = 3;

/// The next change that brings the members to the controls that are there, if one is due.
///
/// One at a time, and each by a majority of the members before it. A control whose disk was
/// lost comes back under a new identity: the old one is taken out first, so that it never
/// votes on what it forgot, and the new one counts only when it has caught up.
///
/// `tenure` is how long the leader that asks has led: before that it can't tell who is silent.
pub fn next(
    status: &Status,
    tenure: Duration,
    present: &BTreeMap<NodeId, DiskId>,
) -> Option<Change> {
    let find = |id: &NodeId| status.members.iter().find(|member| member.node == *id);
    let replaced =
        present.iter().find(|(id, disk)| find(id).is_some_and(|member| member.disk != **disk));
    if let Some((node, _)) = replaced {
        return Some(Change::Remove { node: node.clone() });
    }
    if let Some(caught_up) = status.members.iter().find(|member| !member.voter && member.up_to_date)
    {
        return Some(Change::Promote { node: caught_up.node.clone() });
    }
    if let Some((node, disk)) = present.iter().find(|(id, _)| find(id).is_none()) {
        return Some(Change::AddLearner { disk: *disk, node: node.clone() });
    }
    lost(status)
        .filter(|_| tenure >= SILENT)
        .map(|member| Change::Remove { node: member.node.clone() })
}

fn lost(status: &Status) -> Option<&Member> {
    let voters = status.members.iter().filter(|member| member.voter).count();
    let is_lost = |member: &&Member| member.heard.is_none_or(|heard| heard >= SILENT);
    let lost = status.members.iter().find(|member| is_lost(member));
    lost.filter(|member| !member.voter || voters > FEWEST)
}
