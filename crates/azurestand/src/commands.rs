//! The verbs, a file each.

mod apply;
mod audit;
mod centre;
mod check;
mod diff;
mod edit;
mod help;
mod history;
mod init;
mod recover;
mod revert;
mod settings;
mod show;
mod status;
mod trail;
mod version;
mod wait;

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
        Command::Check(file) => settings::run(&file),
        Command::Version => Ok(version::run()),
        Command::Help(verb) => Ok(help::run(verb)),
    }
}
