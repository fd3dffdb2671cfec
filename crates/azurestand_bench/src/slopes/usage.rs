//! Processor time and memory of this process, from `/proc/self`; zero elsewhere.

use std::fs;

const PAGE_KB: f64 = 4.0;

/// Microseconds of processor time of all threads that live.
///
/// The scheduler's own count is finer than the ticks of `/proc/self/stat`; a thread
/// that ended takes its time along, so measured parts keep their threads.
pub(super) fn processor_micros() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let time = |task: fs::DirEntry| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    };
    tasks.flatten().filter_map(time).sum::<f64>() / 1e3
}

/// Kilobytes of memory that are resident.
pub(super) fn resident_kb() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_KB
}
