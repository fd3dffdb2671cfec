//! The azurestand command: the daemons and the operators' verbs in one binary.
//!
//! Each verb is a file of `commands/`. A verb returns a report, which is
//! printed as text or JSON, and the process ends with one of the statuses of
//! [docs/operate/edit-configuration.md](../../../docs/operate/edit-configuration.md).

mod admin;
mod args;
mod author;
mod calendar;
mod centres;
mod commands;
mod failure;
mod origin;
mod progress;
mod report;
mod section_file;
mod session;
mod status;
mod verbs;

use std::process::ExitCode;

use args::Args;
use report::Format;

fn main() -> ExitCode {
    let args = match Args::parse(std::env::args_os()) {
        Ok(args) => args,
        Err(failure) => return report::fail(&failure, Format::Text).into(),
    };
    let format = args.options.format;
    let mut builder = if args.command.is_daemon() {
        tokio::runtime::Builder::new_multi_thread()
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let runtime = builder.enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(commands::run(args)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(report) => report.print(format).into(),
        Err(failure) => report::fail(&failure, format).into(),
    }
}
