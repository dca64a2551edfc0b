//! Reads the teams of a document of rules.

use super::Class;
use crate::id::CallerId;
use crate::id::ClassId;
use crate::settings::Content;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Scalar;
use crate::settings::Tree;
use crate::settings::scalar;
use crate::team::Digest;
use crate::team::Limit;
use crate::team::Team;
use crate::team::Teams;

/// Largest rate (requests per second) and largest burst of a limit.
const MAX_LIMIT: f64 = 1e6;

impl Scalar for Digest {
    const KIND: &'static str = "the digest of a key";
    const ALLOWED: &'static str = "write `sha256:` and the 64 digits that `sha256sum` prints";

    fn read(text: &str) -> Option<Self> {
        Self::parse(text)
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

/// Reads the `teams` field of a document.
pub(super) fn read(fields: &Fields, classes: &[Class]) -> Teams {
    let mut teams = Teams::default();
    for (_, name, tree) in fields.entries("teams") {
        match &tree.content {
            Content::Map(_) => read_team(name, tree, classes, fields.mistakes(), &mut teams),
            _ => {
                let team = teams.add(Team { class: None, limit: None, name: name.clone() });
                add_callers(team, tree, fields.mistakes(), &mut teams);
            }
        }
    }
    teams
}

fn read_team(name: &str, tree: &Tree, classes: &[Class], mistakes: &Mistakes, teams: &mut Teams) {
    let allowed = ["burst", "callers", "class", "keys", "rate"];
    let Some(fields) = Fields::open(tree, mistakes, &allowed) else { return };
    let class: Option<ClassId> = fields.optional("class");
    if let Some(class) = class.as_ref().filter(|class| !is_known(class, classes)) {
        let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let names = names.join("`, `");
        let text = format!("`{class}` is not a class; allowed are `{names}`");
        mistakes.add(fields.line_of("class"), text);
    }
    let limit = read_limit(&fields);
    let team = teams.add(Team { class, limit, name: name.into() });
    if let Some(tree) = fields.tree("callers") {
        add_callers(team, tree, mistakes, teams);
    }
    for key in fields.several::<Digest>("keys") {
        if let Err(taken) = teams.add_key(team, key) {
            let text = format!("key `{key}` is of team `{}` already; one team each", taken.by);
            mistakes.add(fields.line_of("keys"), text);
        }
    }
}

fn is_known(class: &ClassId, classes: &[Class]) -> bool {
    classes.iter().any(|other| other.name == *class)
}

fn read_limit(fields: &Fields) -> Option<Limit> {
    if fields.tree("rate").is_none() && fields.tree("burst").is_some() {
        fields.mistakes().add(fields.line_of("burst"), "`burst` goes with `rate`");
    }
    fields.tree("rate")?;
    let rate = fields.ranged("rate", MAX_LIMIT, &0.1, &MAX_LIMIT);
    let burst = fields.ranged("burst", rate, &0.0, &MAX_LIMIT);
    Some(Limit { burst, rate })
}

fn add_callers(team: u32, tree: &Tree, mistakes: &Mistakes, teams: &mut Teams) {
    let read = |tree: &Tree| Some((tree.line, scalar::<CallerId>(tree, mistakes)?));
    let callers: Vec<(u64, CallerId)> = match &tree.content {
        Content::List(items) => items.iter().filter_map(read).collect(),
        _ => read(tree).into_iter().collect(),
    };
    for (line, caller) in callers {
        if let Err(taken) = teams.add_caller(team, caller.clone()) {
            let by = taken.by;
            let text = format!("caller `{caller}` is in team `{by}` already; one team each");
            mistakes.add(line, text);
        }
    }
}
