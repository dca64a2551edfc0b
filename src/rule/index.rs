use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::Host;
use super::Path;
use super::Request;
use super::Rule;
use crate::id::CallerId;
use crate::id::TeamId;

type Map<V> = HashMap<CompactString, V, Xxh3DefaultBuilder>;

/// Positions of rules by host, path, caller and team.
///
/// A rule is in every bucket whose requests it may match. The rules of a request's
/// buckets, merged by position, therefore include the first match of a linear scan.
/// The other criteria are checked on these candidates only.
#[derive(Clone, Debug, Default)]
pub struct Index {
    any: Paths,
    subdomains: Map<Paths>,
    exact: Map<Paths>,
}

/// Rules of one host pattern by path.
#[derive(Clone, Debug, Default)]
struct Paths {
    any: Bucket,
    /// Most slashes of any prefix; bounds the lookups for a path with many slashes.
    depth: usize,
    exact: Map<Bucket>,
    prefixes: Map<Bucket>,
}

/// Rules of one host and path pattern by caller and team, as ascending positions.
#[derive(Clone, Debug, Default)]
struct Bucket {
    any: Vec<u32>,
    callers: Map<Vec<u32>>,
    teams: Map<Vec<u32>>,
}

/// Iterates over the positions of rules that may match, in ascending order.
pub(super) struct Candidates<'a> {
    /// Ascending positions that are still to be returned, which may overlap.
    lists: Vec<&'a [u32]>,
}

impl Index {
    /// Builds the index of `rules`.
    pub fn new(rules: &[Arc<Rule>]) -> Self {
        let mut index = Self::default();
        for (position, rule) in rules.iter().enumerate() {
            index.insert(position as u32, rule);
        }
        index
    }

    /// Returns the rules that may match `request`.
    pub(super) fn candidates(&self, request: &Request, team: Option<&TeamId>) -> Candidates<'_> {
        let mut lists = Vec::with_capacity(16);
        self.any.collect(request, team, &mut lists);
        if let Some(paths) = self.exact.get(request.host) {
            paths.collect(request, team, &mut lists);
        }
        if !self.subdomains.is_empty() {
            for (dot, _) in request.host.match_indices('.') {
                if let Some(paths) = self.subdomains.get(&request.host[dot..]) {
                    paths.collect(request, team, &mut lists);
                }
            }
        }
        Candidates { lists }
    }

    fn insert(&mut self, position: u32, rule: &Rule) {
        if rule.when.hosts.is_empty() {
            self.any.insert(position, rule);
        }
        for host in &rule.when.hosts {
            let paths = match host {
                Host::Subdomain(domain) => self.subdomains.entry(domain.clone()).or_default(),
                Host::Exact(name) => self.exact.entry(name.clone()).or_default(),
            };
            paths.insert(position, rule);
        }
    }
}

impl Paths {
    fn collect<'a>(&'a self, request: &Request, team: Option<&TeamId>, lists: &mut Vec<&'a [u32]>) {
        self.any.collect(request, team, lists);
        if let Some(bucket) = self.exact.get(request.path) {
            bucket.collect(request, team, lists);
        }
        for (slash, _) in request.path.match_indices('/').take(self.depth) {
            if let Some(bucket) = self.prefixes.get(&request.path[..=slash]) {
                bucket.collect(request, team, lists);
            }
        }
    }

    fn insert(&mut self, position: u32, rule: &Rule) {
        if rule.when.paths.is_empty() {
            self.any.insert(position, rule);
        }
        for path in &rule.when.paths {
            let bucket = match path {
                Path::Exact(path) => self.exact.entry(path.clone()).or_default(),
                Path::Prefix(prefix) => {
                    self.depth = self.depth.max(prefix.matches('/').count());
                    self.prefixes.entry(prefix.clone()).or_default()
                }
            };
            bucket.insert(position, rule);
        }
    }
}

impl Bucket {
    fn collect<'a>(&'a self, request: &Request, team: Option<&TeamId>, lists: &mut Vec<&'a [u32]>) {
        let by_team = team.and_then(|team| self.teams.get(team));
        let by_caller = self.callers.get(request.caller);
        lists.extend(by_team.into_iter().chain(by_caller).map(Vec::as_slice));
        if !self.any.is_empty() {
            lists.push(&self.any);
        }
    }

    fn insert(&mut self, position: u32, rule: &Rule) {
        let callers: &[CallerId] = &rule.when.callers;
        let teams: &[TeamId] = &rule.when.teams;
        if callers.is_empty() && teams.is_empty() {
            push_once(&mut self.any, position);
        }
        for caller in callers {
            push_once(self.callers.entry(caller.clone()).or_default(), position);
        }
        if callers.is_empty() {
            for team in teams {
                push_once(self.teams.entry(team.clone()).or_default(), position);
            }
        }
    }
}

impl Candidates<'_> {
    /// Returns the next position.
    pub(super) fn next(&mut self) -> Option<usize> {
        let lowest = self.lists.iter().filter_map(|list| list.first()).min().copied()?;
        for list in &mut self.lists {
            if list.first() == Some(&lowest) {
                *list = &list[1..];
            }
        }
        Some(lowest as usize)
    }
}

/// Appends a position once, also if a rule lists the same caller or team twice.
fn push_once(list: &mut Vec<u32>, position: u32) {
    if list.last() != Some(&position) {
        list.push(position);
    }
}
