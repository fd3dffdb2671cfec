//! Watches the engine and orders it to load what is staged.
//!
//! All pieces are staged from verified memory just before an order, since what
//! lies beside the engine may have gone bad. After an order without an answer
//! the engine's own word decides what happened.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{LoadTurn, useful_until};
use azurestand_types::Moment;
use futures_util::StreamExt;
use futures_util::stream::iter;
use tokio::time::{Instant, interval};

use super::Around;
use super::fetch::targets;
use crate::clock::BootClock;
use crate::edge::{EngineState, Order, Platform};
use crate::log::LogEvent;
use crate::pieces::Version;

/// How often the engine is asked what it is doing.
const LOOK_EVERY: Duration = Duration::from_millis(60);
/// Pieces that are staged at the same time.
const STAGERS: usize = 4;
/// How long entries may take to hear that the engine is about to load.
const NOTICE: Duration = Duration::from_millis(60);

/// The turn of this engine for one version.
struct Turn {
    version: u64,
    at: Moment,
}

/// Watches and orders for ever.
pub(super) async fn run<P>(around: Arc<Around<P>>)
where
    P: Platform,
{
    let mut due = interval(LOOK_EVERY);
    due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut turn = None;
    let mut loaded = 0;
    loop {
        due.tick().await;
        let state = match around.platform.state(around.site.address).await {
            Ok(state) => state,
            Err(error) => {
                if around.pulse.lose() {
                    LogEvent::EngineLost.log(&[("why", error.to_string().into())]);
                }
                continue;
            }
        };
        around.pulse.beat(&state);
        look(&around, &state, &mut turn, &mut loaded).await;
    }
}

/// Orders the load if everything is ready for it.
async fn look<P>(
    around: &Arc<Around<P>>,
    state: &EngineState,
    turn: &mut Option<Turn>,
    loaded: &mut u64,
) where
    P: Platform,
{
    let goal = around.goals.now();
    let Some(model) = goal.model.clone() else {
        return;
    };
    let mut held = state.held.iter();
    let held = held.find(|held| held.model == model && held.is_complete(goal.layers));
    let holds = held.map_or(0, |held| held.version);
    if *loaded != holds {
        *loaded = holds;
        LogEvent::Loaded.log(&[("version", holds.into())]);
        // What the engine has lies staged beside it, where others still get it.
        around
            .shelf
            .retain(|manifest| manifest.model != model || manifest.version > holds);
    }
    let next = goal.next(holds, around.settings.bounds.now().version);
    let unnamed = around.pulse.newest().filter(|_| holds == 0);
    let Some(wanted) = next.or(unnamed) else {
        return;
    };
    if state.busy {
        return;
    }
    // The newest may be complete although the one before it isn't.
    let whole = |number| {
        let version = around.shelf.get(&model, number);
        version.filter(|version| version.missing() == 0)
    };
    let newest = goal.newest().filter(|newest| *newest > holds);
    let Some(version) = whole(wanted).or_else(|| newest.and_then(whole)) else {
        return;
    };
    let wanted = version.manifest.version;
    let bound = around.settings.bounds.now().version;
    let until = useful_until(&goal.named, holds, bound);
    if holds > 0 && !is_due(around, turn, wanted, until).await {
        return;
    }
    order(around, &version, state, goal.store_version).await;
}

/// Whether it is the turn of this engine, whose weights are of use until `until`; an
/// engine without weights has no turn to wait for.
async fn is_due<P>(
    around: &Arc<Around<P>>,
    turn: &mut Option<Turn>,
    wanted: u64,
    until: Option<Moment>,
) -> bool
where
    P: Platform,
{
    let now = BootClock.now();
    if let Some(turn) = turn.as_ref().filter(|turn| turn.version == wanted) {
        around.pulse.set_closing(Some(turn.at));
        return now >= turn.at;
    }
    let Ok(targets) = targets(around).await else {
        return false;
    };
    let names: Vec<Arc<str>> = targets
        .iter()
        .map(|target| target.address.ip().to_string().into())
        .collect();
    let own: Arc<str> = around.settings.ip.to_string().into();
    let turn_of = LoadTurn::new(&own, &wanted.to_be_bytes(), &names);
    let at = turn_of.start_time(now, until.unwrap_or(now));
    *turn = Some(Turn {
        version: wanted,
        at,
    });
    now >= at
}

async fn order<P>(around: &Arc<Around<P>>, version: &Arc<Version>, state: &EngineState, fence: u64)
where
    P: Platform,
{
    let began = Instant::now();
    if !stage(around, version).await {
        return;
    }
    around.pulse.set_closing(Some(BootClock.now()));
    around.pulse.hurry();
    tokio::time::sleep(NOTICE).await;
    let order = Order {
        model: version.manifest.model.clone(),
        version: version.manifest.version,
        after: state.orders,
        fence,
    };
    let reply = around.platform.order(around.site.address, &order).await;
    let text = match &reply {
        Ok(reply) => format!("{reply:?}"),
        Err(error) => error.to_string(),
    };
    let staged = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    LogEvent::Ordered.log(&[
        ("version", order.version.into()),
        ("after", order.after.into()),
        ("fence", order.fence.into()),
        ("reply", text.into()),
        ("staged_ms", staged.into()),
    ]);
    // From here on the engine itself tells that it is loading.
    around.pulse.set_closing(None);
}

/// Stages every piece; what lay there before may be another version, or spoilt.
async fn stage<P>(around: &Arc<Around<P>>, version: &Arc<Version>) -> bool
where
    P: Platform,
{
    let count = version.manifest.digests.len();
    let staged = iter(0..count)
        .map(|number| stage_piece(around, version, number))
        .buffer_unordered(STAGERS)
        .collect::<Vec<bool>>()
        .await;
    staged.into_iter().all(|good| good)
}

async fn stage_piece<P>(around: &Arc<Around<P>>, version: &Arc<Version>, number: usize) -> bool
where
    P: Platform,
{
    let Some(piece) = version.piece(number) else {
        return false;
    };
    let engine = around.site.address;
    let model = &version.manifest.model;
    match around.platform.stage(engine, model, number, piece).await {
        Ok(()) => true,
        Err(error) => {
            LogEvent::PieceFailed.log(&[
                ("number", number.into()),
                ("source", "stage".into()),
                ("why", error.to_string().into()),
            ]);
            false
        }
    }
}
