//! Command line: one file a subcommand.
//!
//! Exit codes of every subcommand: 0 done, 1 done with a finding (mistakes, a refusal, a
//! broken promise), 2 wrong use or something that can't be read or reached.

pub mod bench;
pub mod check;
pub mod demo;
pub mod drain;
pub mod keys;
pub mod load;
pub mod member;
pub mod replay;
pub mod run;
pub mod status;
pub mod submit;
pub mod timeline;
pub mod upstream;

mod client;
mod command;
mod error;

use std::process::ExitCode;

use gumdrop::Options as _;

pub use command::Command;
pub use command::Options;
pub use error::Error;

/// Exit code of a finding.
pub const FINDING: u8 = 1;
/// Exit code of wrong use, or of something that can't be read or reached.
pub const USAGE: u8 = 2;

/// Runs the command that `arguments` name.
pub fn run(arguments: Vec<String>) -> ExitCode {
    let options = match Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}\n\n{}", help());
            return ExitCode::from(USAGE);
        }
    };
    if options.version {
        println!("hemlockfield {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        println!("{}", help());
        return ExitCode::from(if options.help { 0 } else { USAGE });
    };
    if command.help_requested() {
        println!("{}", command.help());
        return ExitCode::SUCCESS;
    }
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hemlockfield: {error}");
            ExitCode::from(USAGE)
        }
    }
}

fn help() -> String {
    let usage = "Usage: hemlockfield [OPTIONS] COMMAND";
    let commands = Options::command_list().unwrap_or_default();
    let codes = "Exit codes: 0 done, 1 done with a finding, 2 wrong use or unreachable";
    format!("{usage}\n\n{}\n\nCommands:\n{commands}\n\n{codes}", Options::usage())
}
