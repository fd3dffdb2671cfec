//! A stand-in store, a directory of files and a small fake of an entry.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::Command;

use azurestand_standin::{Store, StoreOptions};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tempfile::TempDir;
use tokio::net::TcpListener;

/// How one run of the binary ended.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// What one test works with.
pub(crate) struct Bench {
    pub(crate) store: Store,
    files: TempDir,
}

impl Bench {
    pub(crate) async fn start() -> Self {
        Self {
            store: Store::start(StoreOptions::default()).await.unwrap(),
            files: tempfile::tempdir().unwrap(),
        }
    }

    /// Runs the binary with the words of `line` in the directory of files.
    pub(crate) async fn run(&self, line: &str) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_azurestand"));
        command
            .args(line.split(' '))
            .env_clear()
            .env(
                "AZURESTAND_STORE",
                format!("http://{}", self.store.address()),
            )
            .env("AZURESTAND_AUTHOR", "ana")
            .current_dir(self.files.path());
        let output = tokio::task::spawn_blocking(move || command.output());
        let output = output.await.unwrap().unwrap();
        Run {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        std::fs::write(self.files.path().join(name), text).unwrap();
    }

    pub(crate) fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.files.path().join(name)).unwrap()
    }

    /// An entry that sees these nodes: host, data centre and revision.
    pub(crate) async fn entry(&self, nodes: &[(&str, &str, u64)]) -> String {
        let nodes = nodes.iter().map(|(host, centre, revision)| {
            serde_json::json!({
                "host": host, "centre": centre, "role": "agent",
                "incarnation": 1, "revision": revision,
            })
        });
        let nodes: Vec<_> = nodes.collect();
        serve(serde_json::json!({ "nodes": nodes }).to_string()).await
    }

    /// An entry that holds this document.
    pub(crate) async fn entry_with(&self, document: &str) -> String {
        serve(document.to_owned()).await
    }
}

/// Answers every request with `body`, until the test's runtime ends.
async fn serve(body: String) -> String {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = Bytes::from(body);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let body = body.clone();
            let service = service_fn(move |_: Request<Incoming>| {
                let answer = Response::new(Full::new(body.clone()));
                async move { Ok::<_, Infallible>(answer) }
            });
            let io = TokioIo::new(stream);
            tokio::spawn(http1::Builder::new().serve_connection(io, service));
        }
    });
    format!("http://{address}")
}
