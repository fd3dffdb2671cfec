//! Values that several tests use.

use std::sync::Arc;
use std::time::Duration;

use azurestand_direct::{CostModel, InputLimits, LoadedWeights, Service, Target, TargetState};

/// A ready target of `service` with version 1 of the model `m`.
pub(crate) fn target(id: &str, service: &str) -> Target {
    Target {
        id: id.into(),
        started_at: 1,
        writes: 1,
        service: service.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: "north".into(),
        state: TargetState::Ready,
        slots: 16,
        cold: Duration::ZERO,
        held: vec![held(1)],
    }
}

/// All layers of a version of the model `m`.
pub(crate) fn held(version: u64) -> LoadedWeights {
    LoadedWeights {
        model: "m".into(),
        version,
        layers: Some(16),
    }
}

/// A service of engines.
pub(crate) fn engines() -> Service {
    Service {
        name: "llm".into(),
        cold_rate: Some(36.0),
        engine: Some(cost_model()),
        models: vec![Arc::from("m")],
        pieces: Some(96),
    }
}

/// The cost model of a mid-sized engine.
pub(crate) fn cost_model() -> CostModel {
    CostModel {
        step_ms: 6.73,
        request_ms: 0.0219,
        context_ms: 0.0068,
        read_rate: 30.6,
        pairs_ms: 0.647,
        chunk: 2_048,
        stride: 6,
        mean_prompt: 964,
        mean_answer: 119,
        load_time: Duration::from_millis(300),
        layers: 16,
    }
}

/// A plain service.
pub(crate) fn plain() -> Service {
    Service {
        name: "desk".into(),
        cold_rate: None,
        engine: None,
        models: Vec::new(),
        pieces: None,
    }
}

/// Limits on what callers send.
pub(crate) fn limits() -> InputLimits {
    InputLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    }
}
