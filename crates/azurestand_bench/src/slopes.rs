//! What one more request, token, link or member costs.
//!
//! Each slope is a straight line through at least four measured sizes, with how
//! far the points lie off it. [docs/CAPACITY.md](../../../docs/CAPACITY.md) works
//! out the planned size from them. The processes measured share this one, so that
//! `/proc/self` gives their processor time and memory together.

mod fit;
mod frames;
mod links;
mod live;
mod state;
mod usage;

use std::fmt;

pub use fit::{Point, Slope};

use azurestand_standin::DeploymentError;

/// All slopes of a run.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The slopes in the order of measuring.
    pub slopes: Vec<Slope>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for slope in &self.slopes {
            writeln!(f, "{slope}")?;
        }
        Ok(())
    }
}

/// Measures frames, links and state, without daemons.
///
/// # Errors
///
/// When loopback links can't be opened or no runtime starts.
pub fn parts(short: bool) -> std::io::Result<Report> {
    let mut slopes = frames::measure();
    slopes.extend(state::measure(short));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    slopes.extend(runtime.block_on(links::measure(short))?);
    Ok(Report { slopes })
}

/// Measures the real daemons on loopback.
///
/// # Errors
///
/// [`DeploymentError`] when a deployment can't be started or edited on loopback.
pub async fn daemons(short: bool) -> Result<Report, DeploymentError> {
    let mut slopes = live::requests(short).await?;
    slopes.extend(live::fleets(short).await?);
    Ok(Report { slopes })
}
