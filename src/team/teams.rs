use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::Digest;
use super::Secret;
use super::Team;
use crate::id::CallerId;
use crate::id::TeamId;

type Map<K> = HashMap<K, u32, Xxh3DefaultBuilder>;

/// All teams of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    callers: Map<CallerId>,
    keys: Map<Digest>,
    teams: Vec<Team>,
}

/// Whose request it is, by the key that came with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Requester<'a> {
    /// This team's.
    Known(&'a Team),
    /// Nobody's: no key came, or none that counts.
    Unknown,
}

/// A key or a caller that belongs to another team already.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Conflict {
    /// The other team.
    pub by: TeamId,
}

impl Teams {
    /// Adds a team, and says its number.
    pub fn add(&mut self, team: Team) -> u32 {
        self.teams.push(team);
        self.teams.len() as u32 - 1
    }

    /// Adds a caller to a team.
    ///
    /// # Errors
    ///
    /// Where it belongs to another one.
    pub fn add_caller(&mut self, team: u32, caller: CallerId) -> Result<(), Conflict> {
        let before = self.callers.insert(caller, team);
        self.check(team, before)
    }

    /// Adds a key to a team.
    ///
    /// # Errors
    ///
    /// Where it belongs to another one.
    pub fn add_key(&mut self, team: u32, key: Digest) -> Result<(), Conflict> {
        let before = self.keys.insert(key, team);
        self.check(team, before)
    }

    /// All of them, in the order of the configuration.
    pub fn all(&self) -> &[Team] {
        &self.teams
    }

    /// Whether callers have to prove by a key who they are.
    pub fn has_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Whose request it is that came with this key.
    pub fn identify(&self, key: Option<&Secret>) -> Requester<'_> {
        let known = key.and_then(|key| self.keys.get(&key.digest()));
        known.map_or(Requester::Unknown, |team| Requester::Known(&self.teams[*team as usize]))
    }

    /// Team of a caller.
    pub fn of_caller(&self, caller: &str) -> Option<&Team> {
        self.callers.get(caller).map(|team| &self.teams[*team as usize])
    }

    fn check(&self, team: u32, before: Option<u32>) -> Result<(), Conflict> {
        match before {
            Some(other) if other != team => {
                Err(Conflict { by: self.teams[other as usize].name.clone() })
            }
            _ => Ok(()),
        }
    }
}

impl<'a> Requester<'a> {
    /// The team, where it is known.
    pub fn team(self) -> Option<&'a Team> {
        match self {
            Self::Known(team) => Some(team),
            Self::Unknown => None,
        }
    }
}
