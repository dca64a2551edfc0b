use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::Digest;
use super::Secret;
use super::Team;
use crate::id::CallerId;
use crate::id::TeamId;

type Lookup<K> = HashMap<K, u32, Xxh3DefaultBuilder>;

/// All teams of a configuration, with their callers and keys.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    callers: Lookup<CallerId>,
    keys: Lookup<Digest>,
    requires_key: bool,
    teams: Vec<Team>,
}

/// Sender of a request, as identified by its API key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Requester<'a> {
    /// The team that the key belongs to.
    Known(&'a Team),
    /// No team: the request has no key, or an unknown one.
    Unknown,
}

/// A key or a caller was added that belongs to another team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Conflict {
    /// Team that it belongs to.
    pub by: TeamId,
}

impl Teams {
    /// Adds a team and returns its number.
    pub fn add(&mut self, team: Team) -> u32 {
        self.teams.push(team);
        self.teams.len() as u32 - 1
    }

    /// Adds a caller to a team.
    ///
    /// # Errors
    ///
    /// [`Conflict`] when the caller belongs to another team.
    pub fn add_caller(&mut self, team: u32, caller: CallerId) -> Result<(), Conflict> {
        let previous = self.callers.insert(caller, team);
        self.check_conflict(team, previous)
    }

    /// Adds a key to a team.
    ///
    /// # Errors
    ///
    /// [`Conflict`] when the key belongs to another team.
    pub fn add_key(&mut self, team: u32, key: Digest) -> Result<(), Conflict> {
        let previous = self.keys.insert(key, team);
        self.check_conflict(team, previous)
    }

    /// All teams, in the order of the configuration.
    pub fn all(&self) -> &[Team] {
        &self.teams
    }

    /// States that callers have to present a key, however many there are: without any, nobody is let in.
    pub fn require_key(&mut self) {
        self.requires_key = true;
    }

    /// Whether callers have to present a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Identifies the sender of a request by its key.
    pub fn identify(&self, key: Option<&Secret>) -> Requester<'_> {
        let known = key.and_then(|key| self.keys.get(&key.digest()));
        known.map_or(Requester::Unknown, |team| Requester::Known(&self.teams[*team as usize]))
    }

    /// Team that a caller was added to.
    pub fn of_caller(&self, caller: &str) -> Option<&Team> {
        self.callers.get(caller).map(|team| &self.teams[*team as usize])
    }

    fn check_conflict(&self, team: u32, previous: Option<u32>) -> Result<(), Conflict> {
        match previous {
            Some(other) if other != team => {
                Err(Conflict { by: self.teams[other as usize].name.clone() })
            }
            _ => Ok(()),
        }
    }
}

impl<'a> Requester<'a> {
    /// The team, if it is known.
    pub fn team(self) -> Option<&'a Team> {
        match self {
            Self::Known(team) => Some(team),
            Self::Unknown => None,
        }
    }
}
