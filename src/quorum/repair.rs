//! Automatic repair: chooses the next membership change.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Change;
use super::DiskId;
use super::Member;
use super::Status;
use crate::id::NodeId;

/// A voter that is not heard for this long is removed if enough others remain. Longer than a
/// restart or a usual stall, shorter than the time between two losses.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// A lost voter is removed only while there are more voters than this: with fewer than three,
/// a single loss stops the log.
const MIN_VOTERS: usize = 3;

/// Returns the next change that brings the membership in line with the `present` control
/// VMs, if one is due.
///
/// Changes are made one at a time, each by a majority of the previous members. A control VM
/// that lost its disk comes back under a new identity. The old identity is removed first, so
/// that it never votes on what it forgot, and the new one becomes a voter only after it has
/// caught up.
///
/// `tenure` is how long the leader has led. A new leader can't tell yet who is silent, so it
/// removes no lost member before [`SILENCE_LIMIT`] has passed.
pub fn next_change(
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
    lost_member(status)
        .filter(|_| tenure >= SILENCE_LIMIT)
        .map(|member| Change::Remove { node: member.node.clone() })
}

fn lost_member(status: &Status) -> Option<&Member> {
    let voters = status.members.iter().filter(|member| member.voter).count();
    let is_lost = |member: &&Member| member.heard.is_none_or(|heard| heard >= SILENCE_LIMIT);
    let lost = status.members.iter().find(|member| is_lost(member));
    lost.filter(|member| !member.voter || voters > MIN_VOTERS)
}
