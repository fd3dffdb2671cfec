//! The verbs, a file each.

mod apply;
mod audit;
mod centre;
mod check;
mod daemon;
mod diff;
mod edit;
mod explain;
mod help;
mod history;
mod init;
mod overview;
mod platform;
mod publish;
mod recover;
mod revert;
mod settings;
mod show;
mod status;
mod trail;
mod version;
mod wait;

pub(crate) use publish::Publication;

use crate::args::{Args, Command};
use crate::failure::Failure;
use crate::report::Report;

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<Report, Failure> {
    let options = &args.options;
    match args.command {
        Command::ConfigShow(section) => show::run(section, options).await,
        Command::ConfigEdit(section) => edit::run(section, options).await,
        Command::ConfigCheck(file) => check::run(&file, options).await,
        Command::ConfigDiff(section, file) => diff::run(section, &file, options).await,
        Command::ConfigApply(section, file) => apply::run(section, &file, options).await,
        Command::ConfigHistory => history::run(options).await,
        Command::ConfigRevert(change) => revert::run(&change, options).await,
        Command::ConfigStatus(change) => status::run(&change, options).await,
        Command::ConfigInit(file) => init::run(&file, options).await,
        Command::ConfigRecover => recover::run(options).await,
        Command::Audit => audit::run(options).await,
        Command::CentreOut(centre) => centre::run(&centre, false, options).await,
        Command::CentreIn(centre) => centre::run(&centre, true, options).await,
        Command::Entry(file) => daemon::run_entry(&file).await,
        Command::Agent(file) => daemon::run_agent(&file).await,
        Command::PlatformEntry(file) => platform::run_entry(file).await,
        Command::PlatformAgent(file) => platform::run_agent(file).await,
        Command::PlatformCheck(file) => platform::check(file),
        Command::Explain { request, files } => explain::run(&request, &files),
        Command::Publish(publication) => publish::run(&publication).await,
        Command::Status { watch } => overview::run(options, watch).await,
        Command::Check(file) => settings::run(&file),
        Command::Version => Ok(version::run()),
        Command::Help(verb) => Ok(help::run(verb)),
    }
}
