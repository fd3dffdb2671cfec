//! Sets up the log of a daemon.

use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

use crate::settings::LogFormat;

/// Sends the log to standard error, where the platform collects it.
/// A second call, as in a process with many nodes, changes nothing.
pub fn start(format: LogFormat) {
    static STARTED: std::sync::Once = std::sync::Once::new();
    STARTED.call_once(|| apply(format));
}

fn apply(format: LogFormat) {
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    let builder = logforth::starter_log::builder();
    match format {
        LogFormat::Text => builder
            .dispatch(|dispatch| {
                let append = Stderr::default().with_layout(TextLayout::default().no_color());
                dispatch.filter(filter).append(append)
            })
            .apply(),
        LogFormat::Json => builder
            .dispatch(|dispatch| {
                let append = Stderr::default().with_layout(JsonLayout::default());
                dispatch.filter(filter).append(append)
            })
            .apply(),
    }
}
