//! Reads the teams of a document of rules.

use super::Class;
use crate::id::CallerId;
use crate::id::ClassId;
use crate::settings::Content;
use crate::settings::Fields;
use crate::settings::Mistakes;
use crate::settings::Scalar;
use crate::settings::Yaml;
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

/// Reads the `teams` field of a document, and whether it requires keys.
pub(super) fn read(fields: &Fields, classes: &[Class]) -> Teams {
    let mut teams = Teams::default();
    let names_keys = fields.entries("teams").iter().any(|(_, _, team)| team.has_field("keys"));
    if fields.or_default("require_keys", names_keys) {
        teams.require_key();
    }
    for (_, name, yaml) in fields.entries("teams") {
        match &yaml.content {
            Content::Map(_) => read_team(name, yaml, classes, fields.mistakes(), &mut teams),
            _ => {
                let team = teams.add(Team { class: None, limit: None, name: name.clone() });
                add_callers(team, yaml, fields.mistakes(), &mut teams);
            }
        }
    }
    teams
}

fn read_team(name: &str, yaml: &Yaml, classes: &[Class], mistakes: &Mistakes, teams: &mut Teams) {
    let allowed = ["burst", "callers", "class", "keys", "rate"];
    let Some(fields) = Fields::open(yaml, mistakes, &allowed) else { return };
    let class: Option<ClassId> = fields.optional("class");
    if let Some(class) = class.as_ref().filter(|class| !is_known(class, classes)) {
        let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let names = names.join("`, `");
        let text = format!("`{class}` is not a class; allowed are `{names}`");
        mistakes.add(fields.line_of("class"), text);
    }
    let limit = read_limit(&fields);
    let team = teams.add(Team { class, limit, name: name.into() });
    if let Some(yaml) = fields.yaml("callers") {
        add_callers(team, yaml, mistakes, teams);
    }
    for key in fields.values::<Digest>("keys") {
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
    if fields.yaml("rate").is_none() && fields.yaml("burst").is_some() {
        fields.mistakes().add(fields.line_of("burst"), "`burst` goes with `rate`");
    }
    fields.yaml("rate")?;
    let rate = fields.ranged("rate", MAX_LIMIT, &0.1, &MAX_LIMIT);
    let burst = fields.ranged("burst", rate, &0.0, &MAX_LIMIT);
    Some(Limit { burst, rate })
}

fn add_callers(team: u32, yaml: &Yaml, mistakes: &Mistakes, teams: &mut Teams) {
    let read = |yaml: &Yaml| Some((yaml.line, scalar::<CallerId>(yaml, mistakes)?));
    let callers: Vec<(u64, CallerId)> = match &yaml.content {
        Content::List(items) => items.iter().filter_map(read).collect(),
        _ => read(yaml).into_iter().collect(),
    };
    for (line, caller) in callers {
        if let Err(taken) = teams.add_caller(team, caller.clone()) {
            let by = taken.by;
            let text = format!("caller `{caller}` is in team `{by}` already; one team each");
            mistakes.add(line, text);
        }
    }
}
