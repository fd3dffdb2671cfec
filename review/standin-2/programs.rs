//! The project's programs, as separate processes with the commands of the deploy file.

use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Channel;

/// Loopback addresses and ports of one run that nobody else uses.
pub struct Net {
    base: [u8; 2],
    pub port: u16,
    folder: PathBuf,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A signal, with its number on Linux.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Continue = 18,
}

/// A program that was started here; it is ended when dropped.
pub struct Program {
    child: Child,
}

impl Program {
    /// Whether the process is still there.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap_or(0);
        // SAFETY: the call takes no pointers, and the child hasn't been waited for.
        unsafe { kill(id, signal as i32) };
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.signal(Signal::Continue);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Net {
    pub fn new() -> Self {
        let random = crate::base::random();
        let base = [(random % 200 + 20) as u8, (random >> 8) as u8];
        let folder = std::env::temp_dir().join(format!("review-{random:x}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self { base, port: 20_000 + (random >> 16) as u16 % 8_000, folder }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::from([127, self.base[0], self.base[1], host])
    }

    pub fn address(&self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.port + offset)
    }

    pub fn listen(&self, host: u8, offset: u16) -> Result<TcpListener, String> {
        let address = self.address(host, offset);
        TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))
    }

    /// Starts `role`, `entry` or `agent`, on `host`. The store listens at host 1, port 7.
    pub fn start(&self, program: &str, role: &str, host: u8, zone: &str, app: Option<(u16, &str)>) -> Result<Program, String> {
        let ip = self.ip(host);
        let at = |offset: u16| self.address(host, offset).to_string();
        let (class, listen) = match role {
            "entry" => ("front", format!("front = \"{}\"\nready = \"{}\"\n", at(5), at(2))),
            _ => ("side", String::new()),
        };
        let app = app.map(|(port, service)| format!("app = \"{}\"\nservice = \"{service}\"\n", at(port)));
        let text = format!(
            "node_name = \"{class}-{zone}-{host}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = [\"{class}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tov\"\ninternal_ports = [{}, {}]\nseeds = []\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nbeat_interval_ms = 1200\n{}\
             [zones]\ntov-zuunmod = \"tov\"\nkhentii-ondor = \"khentii\"\n[listen]\n{listen}\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\nstability_window_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrevert_slack_ms = 250\nouter_ms = 5000\nrevoke_strict = true\nrevoke_ms = 5000\n\
             retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 106\nevacuate_ms = 5000\nversion_ms = 8000\n\
             [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
             value_bytes = 1048576\nttl_min_ms = 1000\n",
            self.port + 20,
            self.port + 35,
            app.unwrap_or_default(),
            self.address(1, 7),
        );
        let settings = self.folder.join(format!("{role}-{host}.toml"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = fs::File::create(self.folder.join(format!("{role}-{host}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(["platform", role, "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        Ok(Program { child })
    }

    /// Waits until the entry on `host` reports that it is ready.
    pub fn until_ready(&self, host: u8, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(mut channel) = Channel::connect(self.address(host, 2), Duration::from_millis(200)) {
                channel.write(b"GET /azurestand/ready HTTP/1.1\r\nhost: entry\r\n\r\n");
                if channel.read_message().is_some_and(|answer| answer.status() == 200) {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("the entry on host {host} is not ready"))
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
