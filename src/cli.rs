//! Command line interface, with one module for each subcommand.
//!
//! Exit codes of every subcommand: 0 for success, 1 for a finding (mistakes in a file, a
//! refusal, a violated guarantee), 2 for wrong usage or something that can't be read or
//! reached.

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

/// Exit code of a command that completed with a finding.
pub const EXIT_FINDING: u8 = 1;
/// Exit code for wrong usage or something that can't be read or reached.
pub const EXIT_USAGE: u8 = 2;

/// Runs the subcommand that `arguments` name.
pub fn run(arguments: Vec<String>) -> ExitCode {
    let options = match Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}\n\n{}", help());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.version {
        println!("hemlockfield {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        println!("{}", help());
        return ExitCode::from(if options.help { 0 } else { EXIT_USAGE });
    };
    if command.help_requested() {
        println!("{}", command.help());
        return ExitCode::SUCCESS;
    }
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hemlockfield: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn help() -> String {
    let usage = "Usage: hemlockfield [OPTIONS] COMMAND";
    let commands = Options::command_list().unwrap_or_default();
    let codes = "Exit codes: 0 done, 1 done with a finding, 2 wrong use or unreachable";
    format!("{usage}\n\n{}\n\nCommands:\n{commands}\n\n{codes}", Options::usage())
}
