//! Polls the engine's state and orders it to load complete versions.
//!
//! All pieces are staged from verified memory just before an order, since pieces staged
//! earlier may have become corrupt. An order expires a short time after the first of them was
//! staged, however long this process was suspended meanwhile; the pieces are staged anew then.
//! If an order gets no response, the state that the engine reports afterwards shows whether it
//! took effect.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{LoadTurn, useful_until};
use azurestand_types::Moment;
use futures_util::StreamExt;
use futures_util::stream::iter;
use tokio::time::interval;

use super::Shared;
use super::fetch::targets;
use crate::client::CallError;
use crate::clock::BootClock;
use crate::log::{LogEvent, millis};
use crate::pieces::Version;
use crate::platform::{EngineState, Order, Platform};

/// How often the engine's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of pieces staged concurrently.
const CONCURRENT_STAGES: usize = 4;
/// The time between the report to entries that the engine is about to load and the order.
const LOAD_NOTICE: Duration = Duration::from_millis(60);
/// How long after the first piece was staged an order may be sent. With the time that the order
/// itself may take, it is below the time in which corrupt pieces must not be loaded.
const MAX_STAGED_AGE: Duration = Duration::from_millis(1_500);

/// When this engine may load one version; the engines of a service take turns.
struct Turn {
    version: u64,
    at: Moment,
}

/// Polls the engine and orders loads. Never returns.
pub(super) async fn run<P>(shared: Arc<Shared<P>>)
where
    P: Platform,
{
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut turn = None;
    let mut loaded = 0;
    loop {
        ticks.tick().await;
        let state = match shared.platform.state(shared.engine.address).await {
            Ok(state) => state,
            Err(error) => {
                if shared.status.clear_state() {
                    LogEvent::EngineLost.log(&[("why", error.to_string().into())]);
                }
                continue;
            }
        };
        shared.status.set_state(&state);
        load_if_due(&shared, &state, &mut turn, &mut loaded).await;
    }
}

/// Orders a load if a complete version is to be loaded and the engine is free.
async fn load_if_due<P>(
    shared: &Arc<Shared<P>>,
    state: &EngineState,
    turn: &mut Option<Turn>,
    loaded: &mut u64,
) where
    P: Platform,
{
    let goal = shared.goals.current();
    let Some(model) = goal.model.clone() else {
        return;
    };
    let mut held = state.held.iter();
    let held = held.find(|held| held.model == model && held.is_complete(goal.layers));
    let held_version = held.map_or(0, |held| held.version);
    if *loaded != held_version {
        *loaded = held_version;
        LogEvent::Loaded.log(&[("version", held_version.into())]);
        // The loaded version remains staged beside the engine, from where others can fetch it.
        shared
            .piece_store
            .retain(|manifest| manifest.model != model || manifest.version > held_version);
    }
    let next = goal.next(held_version, shared.settings.bounds.now().version);
    let unnamed = shared.status.newest().filter(|_| held_version == 0);
    let Some(wanted) = next.or(unnamed) else {
        return;
    };
    if state.busy {
        return;
    }
    // The newest version may be complete although the next one isn't.
    let complete = |number| {
        let version = shared.piece_store.get(&model, number);
        let is_complete = |version: &Arc<Version>| version.is_complete(goal.pieces);
        version.filter(is_complete)
    };
    let newest = goal.newest().filter(|newest| *newest > held_version);
    let Some(version) = complete(wanted).or_else(|| newest.and_then(complete)) else {
        return;
    };
    let wanted = version.manifest.version;
    let bound = shared.settings.bounds.now().version;
    let until = useful_until(&goal.named, held_version, bound);
    if held_version > 0 && !is_turn(shared, turn, wanted, until).await {
        return;
    }
    order(shared, &version, state, goal.fence).await;
}

/// Whether it is this engine's turn to load version `wanted`. Its current weights are usable
/// until `until`. Not called for an engine without weights, which loads at once.
async fn is_turn<P>(
    shared: &Arc<Shared<P>>,
    turn: &mut Option<Turn>,
    wanted: u64,
    until: Option<Moment>,
) -> bool
where
    P: Platform,
{
    let now = BootClock.now();
    if let Some(turn) = turn.as_ref().filter(|turn| turn.version == wanted) {
        shared.status.set_closes_at(Some(turn.at));
        return now >= turn.at;
    }
    let Ok(targets) = targets(shared).await else {
        return false;
    };
    let hosts: Vec<Arc<str>> = targets
        .iter()
        .map(|target| target.address.ip().to_string().into())
        .collect();
    let own: Arc<str> = shared.settings.ip.to_string().into();
    let load_turn = LoadTurn::new(&own, &wanted.to_be_bytes(), &hosts);
    let at = load_turn.start_time(now, until.unwrap_or(now));
    *turn = Some(Turn {
        version: wanted,
        at,
    });
    now >= at
}

async fn order<P>(shared: &Arc<Shared<P>>, version: &Arc<Version>, state: &EngineState, fence: u64)
where
    P: Platform,
{
    let staging_at = BootClock.now();
    if !stage(shared, version).await {
        return;
    }
    shared.status.set_closes_at(Some(BootClock.now()));
    shared.status.send_to_all();
    tokio::time::sleep(LOAD_NOTICE).await;
    let order = Order {
        model: version.manifest.model.clone(),
        version: version.manifest.version,
        accepted_orders: state.accepted_orders,
        fence,
        expires_at: staging_at + MAX_STAGED_AGE,
    };
    let reply = shared.platform.order(shared.engine.address, &order).await;
    let text = match &reply {
        Ok(reply) => format!("{reply:?}"),
        Err(error) => error.to_string(),
    };
    let event = match &reply {
        Err(CallError::Withheld) => LogEvent::OrderWithheld,
        _ => LogEvent::Ordered,
    };
    event.log(&[
        ("version", order.version.into()),
        ("after", order.accepted_orders.into()),
        ("fence", order.fence.into()),
        ("reply", text.into()),
        ("staged_ms", millis(BootClock.now().since(staging_at))),
    ]);
    // From now on the engine's state shows that it is loading.
    shared.status.set_closes_at(None);
}

/// Stages every piece, since pieces staged earlier may be corrupt or of another version.
async fn stage<P>(shared: &Arc<Shared<P>>, version: &Arc<Version>) -> bool
where
    P: Platform,
{
    let count = version.manifest.digests.len();
    let staged = iter(0..count)
        .map(|number| stage_piece(shared, version, number))
        .buffer_unordered(CONCURRENT_STAGES)
        .collect::<Vec<bool>>()
        .await;
    staged.into_iter().all(|is_staged| is_staged)
}

async fn stage_piece<P>(shared: &Arc<Shared<P>>, version: &Arc<Version>, number: usize) -> bool
where
    P: Platform,
{
    let Some(piece) = version.piece(number) else {
        return false;
    };
    let engine = shared.engine.address;
    let model = &version.manifest.model;
    match shared.platform.stage(engine, model, number, piece).await {
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
