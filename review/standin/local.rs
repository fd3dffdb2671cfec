//! A small deployment on loopback: settings, processes, signals and the record.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

/// The daemon that the deploy file builds.
const PROGRAM: &str = "target/release/azurestand";

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What was sent, answered and run, with the Unix millisecond.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    path: PathBuf,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let _ = fs::remove_file(path);
        Self::append(path)
    }

    pub fn append(path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path).unwrap();
        Self { file: Arc::new(Mutex::new(file)), path: path.to_owned() }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    pub fn line(&self, text: &str) {
        let line = format!("{} {text}\n", unix_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// The lines so far, also those of other processes.
    pub fn lines(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.path).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

/// A process that ends with this value.
pub struct Process(Child);

impl Process {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn signal(&self, name: &str) {
        signal(&[self], name);
    }

    /// Waits for its end; false if it runs on.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if matches!(self.0.try_wait(), Ok(Some(_))) {
                return true;
            }
            sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends a signal to processes of this test, in this order.
pub fn signal(processes: &[&Process], name: &str) {
    let ids = processes.iter().map(|process| process.id().to_string());
    let _ = Command::new("kill").arg(format!("-{name}")).args(ids).status();
}

/// The folder for settings and logs, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("azurestand-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The first of `count` ports in a row that are free on these addresses.
pub fn free_ports(ips: &[&str], count: u16) -> u16 {
    for _ in 0..200 {
        let probe = TcpListener::bind("127.0.0.1:0").unwrap();
        let first = probe.local_addr().unwrap().port();
        drop(probe);
        if first > 60_000 {
            continue;
        }
        let is_free = ips.iter().all(|ip| {
            (first..first + count).all(|port| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        });
        if is_free {
            return first;
        }
    }
    panic!("no free ports");
}

/// A deployment with a store; the ports are the same on all machines.
pub struct Local {
    pub folder: Folder,
    pub store: SocketAddr,
    /// Internal ports from here on, then `front`, `ready` and the runners' port.
    pub base: u16,
}

impl Local {
    pub fn new(store: SocketAddr, ips: &[&str]) -> Self {
        Self { folder: Folder::create(), store, base: free_ports(ips, 16) }
    }

    pub fn front(&self, ip: &str) -> SocketAddr {
        format!("{ip}:{}", self.base + 10).parse().unwrap()
    }

    pub fn ready(&self, ip: &str) -> SocketAddr {
        format!("{ip}:{}", self.base + 11).parse().unwrap()
    }

    pub fn app(&self, ip: &str) -> SocketAddr {
        format!("{ip}:{}", self.base + 12).parse().unwrap()
    }

    fn settings(&self, name: &str, ip: &str, zone: &str, class: &str) -> String {
        let base = self.base;
        let last = base + 8;
        let listen = if class == "front" {
            format!("front = \"{}\"\nready = \"{}\"\n", self.front(ip), self.ready(ip))
        } else {
            String::new()
        };
        let engine = if class == "side" {
            format!("app = \"{}\"\nservice = \"llm\"\n", self.app(ip))
        } else {
            String::new()
        };
        format!(
            r#"node_name = "{name}"
role = "{class}"
machine_class = "{class}"
serves = ["{class}"]
ip = "{ip}"
zone = "{zone}"
region = "{zone}-region"
internal_ports = [{base},{last}]
bootstrap = true
discovery = "platform"
entry = "vip"
beat_interval_ms = 1200
{engine}[zones]
north = "north-region"
south = "south-region"
[listen]
{listen}[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
outer_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 106
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 0
version_ms = 8000
version_all_ms = 0
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            store = self.store,
        )
    }

    /// Starts a daemon with the command of the deploy file.
    fn daemon(&self, role: &str, name: &str, ip: &str, zone: &str, class: &str) -> Process {
        let file = self.folder.0.join(format!("{name}.toml"));
        fs::write(&file, self.settings(name, ip, zone, class)).unwrap();
        let log = File::create(self.folder.0.join(format!("{name}.log"))).unwrap();
        let child = Command::new(PROGRAM)
            .args(["platform", role])
            .env("AZURESTAND_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        Process(child.expect("the daemon has to be built first"))
    }

    pub fn entry(&self, name: &str, ip: &str, zone: &str) -> Process {
        self.daemon("entry", name, ip, zone, "front")
    }

    pub fn agent(&self, name: &str, ip: &str, zone: &str) -> Process {
        self.daemon("agent", name, ip, zone, "side")
    }

    /// Asks as the platform does until the entry is ready.
    pub fn wait_ready(&self, ip: &str) -> Result<(), String> {
        let text = "GET /azurestand/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if http::call(self.ready(ip), text).0 == 200 {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err(format!("the entry at {ip} did not become ready"))
    }
}

/// A runner of the stand-ins as a process of its own.
pub fn runner(args: &[&str], record: &Record) -> Process {
    let child = Command::new(std::env::current_exe().unwrap())
        .arg("runner")
        .arg(record.path())
        .args(args)
        .stdin(Stdio::null())
        .spawn();
    Process(child.unwrap())
}

/// The value under `op/config`: routes of streams, of lookups and of bookings.
pub fn config(origin: Option<SocketAddr>) -> String {
    let origin = origin.map_or(String::new(), |address| {
        format!(r#",{{"name":"weights","origin":"{address}","zone":"north","link_mbps":7.3,"max_conns":48,"cold_start_s":0.0,"cold_per_s":0.0}}"#)
    });
    format!(
        r#"{{"version":3,"routes":[
{{"name":"tell","host":"a.example","prefix":"/tell/","kind":"streaming","timeout_ms":6000,"latency_target_ms":400,"priority":1,"service":"llm","attempts":2,"resumable":true,"gap_target_ms":300,"session_affinity":true,"keyless":false,"allowed_regions":[]}},
{{"name":"read","host":"a.example","prefix":"/read/","kind":"idempotent","timeout_ms":1200,"latency_target_ms":150,"priority":2,"service":"desk","attempts":2,"keyless":false,"allowed_regions":[]}},
{{"name":"book","host":"a.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":6000,"latency_target_ms":1000,"priority":2,"service":"desk","attempts":1,"keyless":false,"allowed_regions":[]}}],
"services":[
{{"name":"llm","health_path":"/health","max_conns":434,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{{"step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600,"pairs_per_m":0.647,"chunk":2048,"stride":6,"usual":{{"prompt":1290,"answer":144}},"report_lag_ms":200,"layers":16,"layer_mb":4540,"chunks":{chunks},"chunk_bytes":4096,"models":[{{"name":"m0","warm_s":0.3}}]}}}},
{{"name":"desk","health_path":"/health","max_conns":110,"cold_start_s":0.0,"cold_per_s":0.0}}{origin}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"one","api_keys":["key1"]}}]}}"#,
        chunks = CHUNKS,
    )
}

/// The pieces of a version.
pub const CHUNKS: usize = 96;

/// An entry of the list of runners.
pub fn listed(service: &str, address: SocketAddr, zone: &str, born: u64, seq: u64, version: u64) -> String {
    let held = if service == "llm" {
        format!(r#","stage":"unified","models":[{{"name":"m0","version":{version},"adapters":[]}}],"layers":{{"from":0,"to":16,"version":{version}}}"#)
    } else {
        String::new()
    };
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"seq":{seq},"born":{born}{held}}}"#
    )
}

/// A client's request for a stream.
pub fn stream_request(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /tell/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Model: m0\r\n\
         X-Token-Counts: 600,144\r\nX-Prompt-Prefix: 5c1e07a2:40,{id}:560\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key1\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// A client's lookup.
pub fn lookup_request(id: &str) -> String {
    format!(
        "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\
         Authorization: Token key1\r\n\r\n"
    )
}

/// The ids of the events in a text.
pub fn event_ids(text: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(text);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.filter_map(|id| id.trim().parse().ok()).collect()
}
