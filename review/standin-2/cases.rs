//! The cases. Each returns whether the rule held.

mod digests;
mod hung;
mod unframed;
mod weights;

use crate::base::Record;

pub fn run(name: &str, program: &str, record: &Record, trouble: bool) -> Result<bool, String> {
    record.line(&format!("case {name}, trouble {trouble}"));
    match name {
        "digests" => digests::run(program, record, trouble),
        "hung" => hung::run(program, record, trouble),
        "unframed" => unframed::run(program, record, trouble),
        "weights" => weights::run(program, record, trouble),
        other => Err(format!("there is no case {other}")),
    }
}

/// The routes, services, limits and tenants of a small deployment.
pub const HOST: &str = "jepu9.example";
pub const SERVICE: &str = "huvo11a";
pub const KEY: &str = "jnbanfqasnmgkcuyj8pj";

pub fn config(version: u64, origin: &str) -> String {
    let usual = "\"slots\":16,\"kv_tokens\":1640000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\"daka510000\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],\"size_mb\":282000.0,\"adapter_slots\":8,\"loads_per_s\":0.0,\"step_ms\":6.73,\"per_seq_ms\":0.0219,\"context_per_k\":0.0068,\"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_at_once\":8,\"delays\":[],\"usual\":{\"prompt\":964,\"answer\":119},\"layers\":16,\"layer_mb\":4540.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\"chunks\":96,\"chunk_bytes\":24576";
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"prefix\":\"/lepu270/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"latency_target_ms\":400,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2,\"keyless\":false,\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":300,\"allowed_regions\":[]}},{{\"name\":\"r-2\",\"host\":\"{HOST}\",\"prefix\":\"/filo73/de11/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\"latency_target_ms\":150,\"priority\":2,\"service\":\"wuno96b\",\"attempts\":1,\"keyless\":false,\"allowed_regions\":[]}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}},{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":434,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{{usual}}}}},{{\"name\":\"kafi81c\",\"origin\":\"{origin}\",\"zone\":\"khentii-ondor\",\"link_mbps\":7.3,\"max_conns\":48}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"allowed_regions\":[]}}]}}"
    )
}
