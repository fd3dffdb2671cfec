//! Finds a figure's predecessor.

use super::{Figure, Group, Run};

/// What a figure was in the run before, if that measured it in the same form.
pub(super) fn before(previous: Option<&Run>, group: &Group, figure: &Figure) -> Option<f64> {
    let groups = &previous?.groups;
    let then = groups.iter().find(|then| then.title == group.title)?;
    let same = |then: &&Figure| then.name == figure.name && then.unit == figure.unit;
    then.figures.iter().find(same).map(|then| then.value)
}

/// The present figure over the one before; none where that was nothing.
pub(super) fn ratio(value: f64, before: f64) -> Option<f64> {
    (before.abs() > f64::EPSILON).then(|| value / before)
}
