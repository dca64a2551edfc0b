use std::process::ExitCode;

use gumdrop::Options as _;

use super::Error;
use super::bench;
use super::check;
use super::demo;
use super::drain;
use super::keys;
use super::load;
use super::member;
use super::replay;
use super::run;
use super::status;
use super::submit;
use super::timeline;
use super::upstream;

/// Options before the subcommand.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// print this help
    pub help: bool,
    /// print the version
    #[options(no_short)]
    pub version: bool,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// A subcommand with its options.
#[derive(Debug, gumdrop::Options)]
pub enum Command {
    /// measure a slice and print a report
    Bench(bench::Options),
    /// report mistakes in settings and rules, or explain which rule decides a request
    Check(check::Options),
    /// run the whole system in one process, with a gray failure in the middle
    Demo(demo::Options),
    /// drain an entry without aborting a request
    Drain(drain::Options),
    /// create the fleet's certificate authority and the VMs' certificates
    Keys(keys::Options),
    /// send an open-loop load and report what callers received
    Load(load::Options),
    /// add, replace or remove a control
    Member(member::Options),
    /// replay recorded traces and compare them with expected outcomes
    Replay(replay::Options),
    /// run one process of the fleet
    Run(run::Options),
    /// show the status of a process
    Status(status::Options),
    /// submit a numbered configuration
    Submit(submit::Options),
    /// merge event files into one time line
    Timeline(timeline::Options),
    /// run a test upstream, with gray failures on demand
    Upstream(upstream::Options),
}

impl Command {
    /// Usage text of the subcommand.
    pub fn help(&self) -> String {
        let name = self.command_name().unwrap_or_default();
        format!("Usage: hemlockfield {name} [OPTIONS]\n\n{}", self.self_usage())
    }

    /// Runs the subcommand to completion.
    pub(super) fn run(self) -> Result<ExitCode, Error> {
        match self {
            Self::Bench(options) => bench::run(&options),
            Self::Check(options) => Ok(check::run(&options)),
            Self::Demo(options) => demo::run(&options),
            Self::Drain(options) => drain::run(&options),
            Self::Keys(options) => keys::run(&options),
            Self::Load(options) => load::run(options),
            Self::Member(options) => member::run(&options),
            Self::Replay(options) => replay::run(&options),
            Self::Run(options) => run::run(&options),
            Self::Status(options) => status::run(&options),
            Self::Submit(options) => submit::run(&options),
            Self::Timeline(options) => timeline::run(&options),
            Self::Upstream(options) => upstream::run(options),
        }
    }
}
