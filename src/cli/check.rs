//! `hemlockfield check`: reports every mistake in settings and rules, or explains which rule
//! decides a request.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options as _;

use crate::id::TeamId;
use crate::rule;
use crate::rule::Rules;
use crate::settings::Settings;

/// Exit code when a file has a mistake.
const EXIT_MISTAKES: u8 = 1;
/// Exit code for wrong usage or an unreadable file.
const EXIT_USAGE: u8 = 2;

/// Options of `check`.
#[derive(Debug, Default, gumdrop::Options)]
pub struct Options {
    /// files of settings or rules
    #[options(free)]
    pub files: Vec<PathBuf>,
    /// print this help
    pub help: bool,
    /// tell which rule decides a request, such as "GET http://host/path"
    #[options(no_short, meta = "REQUEST")]
    pub explain: Option<String>,
    /// who sends the explained request
    #[options(no_short, meta = "CALLER")]
    pub caller: Option<String>,
    /// header of the explained request, as name:value; may be repeated
    #[options(no_short, meta = "NAME:VALUE")]
    pub header: Vec<String>,
    /// team that the API key of the explained request proves
    #[options(no_short, meta = "TEAM")]
    pub team: Option<TeamId>,
    /// take every file as rules
    #[options(no_short)]
    pub rules: bool,
    /// take every file as settings
    #[options(no_short)]
    pub settings: bool,
}

/// Kind of a file's content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Rules,
    Settings,
}

/// Checks the files. Returns exit code 0 for valid files, 1 for mistakes, 2 for wrong usage or
/// an unreadable file.
pub fn run(options: &Options) -> ExitCode {
    if options.help {
        println!("{}", help());
        return ExitCode::SUCCESS;
    }
    if options.files.is_empty() || options.rules && options.settings {
        eprintln!("{}", help());
        return ExitCode::from(EXIT_USAGE);
    }
    let codes = options.files.iter().map(|file| check(file, options));
    ExitCode::from(codes.max().unwrap_or(0))
}

fn help() -> String {
    let usage = "Usage: hemlockfield check [OPTIONS] FILE...";
    let codes = "Exit codes: 0 sound, 1 mistakes, 2 wrong use or an unreadable file";
    format!("{usage}\n\n{}\n\n{codes}", Options::usage())
}

fn check(file: &Path, options: &Options) -> u8 {
    let name = file.display().to_string();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("file `{name}` can't be read: {error}");
            return EXIT_USAGE;
        }
    };
    match kind(&text, options) {
        Kind::Rules => check_rules(&name, &text, options),
        Kind::Settings => match Settings::parse(&name, &text) {
            Ok(settings) => {
                println!("{name}: sound settings of `{}`", settings.node.id);
                0
            }
            Err(error) => report_mistakes(&error),
        },
    }
}

/// Determines the kind from the options, or else from the top-level fields: only rules have
/// `services` or `rules`.
fn kind(text: &str, options: &Options) -> Kind {
    if options.rules || options.explain.is_some() {
        return Kind::Rules;
    }
    let is_rules_key = |line: &str| line.starts_with("rules:") || line.starts_with("services:");
    match !options.settings && text.lines().any(is_rules_key) {
        true => Kind::Rules,
        false => Kind::Settings,
    }
}

fn check_rules(name: &str, text: &str, options: &Options) -> u8 {
    let rules = match Rules::parse_file(name, text) {
        Ok(rules) => rules,
        Err(error) => return report_mistakes(&error),
    };
    let Some(request) = &options.explain else {
        let count = rules.rules().len();
        println!("{name}: {count} sound rules for {} services", rules.services().len());
        return 0;
    };
    match explain(&rules, request, options) {
        Ok(text) => {
            println!("{text}");
            0
        }
        Err(text) => {
            eprintln!("{text}");
            EXIT_USAGE
        }
    }
}

fn report_mistakes(error: &dyn std::error::Error) -> u8 {
    eprintln!("{error}");
    EXIT_MISTAKES
}

fn explain(rules: &Rules, request: &str, options: &Options) -> Result<String, String> {
    let invalid = || format!("`{request}` is not a request; write `GET http://host/path`");
    let (method, address) = request.split_once(' ').ok_or_else(invalid)?;
    let rest = address.trim().strip_prefix("http://").ok_or_else(invalid)?;
    let (host, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    let headers = headers(&options.header)?;
    let host = host.split(':').next().unwrap_or_default().to_lowercase();
    let method = method.to_uppercase();
    let request = rule::Request {
        caller: options.caller.as_deref().unwrap_or_default(),
        headers: &headers,
        host: &host,
        method: &method,
        path: path.split('?').next().unwrap_or_default(),
        team: options.team.as_ref(),
    };
    Ok(rules.explain(&request, &rule::AllHealthy).to_string())
}

fn headers(list: &[String]) -> Result<Vec<(String, String)>, String> {
    let read = |text: &String| {
        let invalid = || format!("`{text}` is not a header; write `name:value`");
        let (name, value) = text.split_once(':').ok_or_else(invalid)?;
        Ok((name.trim().to_lowercase(), value.trim().to_string()))
    };
    list.iter().map(read).collect()
}
