use std::collections::HashMap;

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

use super::Host;
use super::Path;
use super::Request;
use super::Rule;
use crate::id::CallerId;
use crate::id::TeamId;

type Map<V> = HashMap<CompactString, V, Xxh3DefaultBuilder>;

/// Places of rules by host, path, caller and team.
///
/// A rule stands in every bucket under which it may hold, so the rules of a
/// request's buckets, merged by place, hold the first match of a plain scan.
/// The rest of a condition is checked on these candidates only.
#[derive(Clone, Debug, Default)]
pub struct Index {
    any: Paths,
    below: Map<Paths>,
    exact: Map<Paths>,
}

/// Rules of one host by path.
#[derive(Clone, Debug, Default)]
struct Paths {
    any: Bucket,
    /// Most slashes of a prefix: a path with a thousand slashes costs no more.
    depth: usize,
    exact: Map<Bucket>,
    prefixes: Map<Bucket>,
}

/// Rules of one host and path by whom they are for, as ascending places.
#[derive(Clone, Debug, Default)]
struct Bucket {
    any: Vec<u32>,
    callers: Map<Vec<u32>>,
    teams: Map<Vec<u32>>,
}

/// Places of rules that may hold, ascending.
pub(super) struct Candidates<'a> {
    lists: Vec<&'a [u32]>,
}

impl Index {
    /// Compiles `rules`.
    pub fn new(rules: &[Rule]) -> Self {
        let mut index = Self::default();
        for (place, rule) in rules.iter().enumerate() {
            index.insert(place as u32, rule);
        }
        index
    }

    pub(super) fn candidates(&self, request: &Request, team: Option<&TeamId>) -> Candidates<'_> {
        let mut lists = Vec::with_capacity(16);
        self.any.add(request, team, &mut lists);
        if let Some(paths) = self.exact.get(request.host) {
            paths.add(request, team, &mut lists);
        }
        if !self.below.is_empty() {
            for (dot, _) in request.host.match_indices('.') {
                if let Some(paths) = self.below.get(&request.host[dot..]) {
                    paths.add(request, team, &mut lists);
                }
            }
        }
        Candidates { lists }
    }

    fn insert(&mut self, place: u32, rule: &Rule) {
        if rule.when.hosts.is_empty() {
            self.any.insert(place, rule);
        }
        for host in &rule.when.hosts {
            let paths = match host {
                Host::Below(domain) => self.below.entry(domain.clone()).or_default(),
                Host::Exact(name) => self.exact.entry(name.clone()).or_default(),
            };
            paths.insert(place, rule);
        }
    }
}

impl Paths {
    fn add<'a>(&'a self, request: &Request, team: Option<&TeamId>, lists: &mut Vec<&'a [u32]>) {
        self.any.add(request, team, lists);
        if let Some(bucket) = self.exact.get(request.path) {
            bucket.add(request, team, lists);
        }
        for (slash, _) in request.path.match_indices('/').take(self.depth) {
            if let Some(bucket) = self.prefixes.get(&request.path[..=slash]) {
                bucket.add(request, team, lists);
            }
        }
    }

    fn insert(&mut self, place: u32, rule: &Rule) {
        if rule.when.paths.is_empty() {
            self.any.insert(place, rule);
        }
        for path in &rule.when.paths {
            let bucket = match path {
                Path::Exact(path) => self.exact.entry(path.clone()).or_default(),
                Path::Prefix(prefix) => {
                    self.depth = self.depth.max(prefix.matches('/').count());
                    self.prefixes.entry(prefix.clone()).or_default()
                }
            };
            bucket.insert(place, rule);
        }
    }
}

impl Bucket {
    fn add<'a>(&'a self, request: &Request, team: Option<&TeamId>, lists: &mut Vec<&'a [u32]>) {
        let by_team = team.and_then(|team| self.teams.get(team));
        let by_caller = self.callers.get(request.caller);
        lists.extend(by_team.into_iter().chain(by_caller).map(Vec::as_slice));
        if !self.any.is_empty() {
            lists.push(&self.any);
        }
    }

    fn insert(&mut self, place: u32, rule: &Rule) {
        let callers: &[CallerId] = &rule.when.callers;
        let teams: &[TeamId] = &rule.when.teams;
        if callers.is_empty() && teams.is_empty() {
            push(&mut self.any, place);
        }
        for caller in callers {
            push(self.callers.entry(caller.clone()).or_default(), place);
        }
        if callers.is_empty() {
            for team in teams {
                push(self.teams.entry(team.clone()).or_default(), place);
            }
        }
    }
}

impl Candidates<'_> {
    pub(super) fn next(&mut self) -> Option<usize> {
        let least = self.lists.iter().filter_map(|list| list.first()).min().copied()?;
        for list in &mut self.lists {
            if list.first() == Some(&least) {
                *list = &list[1..];
            }
        }
        Some(least as usize)
    }
}

/// A rule that names an item twice still stands once in its bucket.
fn push(list: &mut Vec<u32>, place: u32) {
    if list.last() != Some(&place) {
        list.push(place);
    }
}
