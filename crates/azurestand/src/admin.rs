//! Asks an entry over its admin address.

use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, Uri};
use http_body_util::{BodyExt, Collected, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::progress::NodeList;

const ANSWER_LIMIT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
const STATUS_PATH: &str = "/admin/status";
const DOCUMENT_PATH: &str = "/admin/document";

quick_error! {
    /// Why no entry gave an answer.
    #[derive(Debug)]
    pub enum AdminError {
        /// No entry was named.
        NoEntry {
            display("no entry is known; name one with --entry http://IP:PORT or AZURESTAND_ENTRY")
        }
        /// An entry didn't answer.
        Failed(entry: Uri, message: String) {
            display("entry {entry} gave no answer: {message}; name another with --entry")
        }
        /// An entry's answer has another form.
        Malformed(entry: Uri, message: String) {
            display("entry {entry} gave an answer that can't be read: {message}; check that it has the same version")
        }
    }
}

/// The nodes that an entry sees; the first entry that answers is taken.
pub(crate) async fn nodes(entries: &[Uri]) -> Result<NodeList, AdminError> {
    status(entries).await
}

/// The status page of the first entry that answers.
pub(crate) async fn status<T>(entries: &[Uri]) -> Result<T, AdminError>
where
    T: DeserializeOwned,
{
    let mut failure = AdminError::NoEntry;
    for entry in entries {
        let page = get(entry, STATUS_PATH).await.and_then(|body| {
            let page = serde_json::from_slice(&body);
            page.map_err(|error| AdminError::Malformed(entry.clone(), error.to_string()))
        });
        match page {
            Ok(page) => return Ok(page),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// The texts of the documents that the entries hold.
pub(crate) async fn documents(entries: &[Uri]) -> Result<Vec<String>, AdminError> {
    let mut failure = AdminError::NoEntry;
    let mut texts = Vec::new();
    for entry in entries {
        match get(entry, DOCUMENT_PATH).await {
            Ok(body) => texts.push(String::from_utf8_lossy(&body).into_owned()),
            Err(error) => failure = error,
        }
    }
    if texts.is_empty() {
        Err(failure)
    } else {
        Ok(texts)
    }
}

async fn get(entry: &Uri, path: &str) -> Result<Bytes, AdminError> {
    let failed = |message: String| AdminError::Failed(entry.clone(), message);
    let answer = tokio::time::timeout(ANSWER_LIMIT, fetch(entry, path)).await;
    match answer {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(message)) => Err(failed(message)),
        Err(_) => Err(failed(format!("nothing within {ANSWER_LIMIT:?}"))),
    }
}

async fn fetch(entry: &Uri, path: &str) -> Result<Bytes, String> {
    let mut parts = entry.clone().into_parts();
    parts.path_and_query = path.parse().ok();
    let uri = Uri::from_parts(parts).map_err(|error| error.to_string())?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let answer = client.get(uri).await.map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()));
    }
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    body.map(Collected::to_bytes)
        .map_err(|error| error.to_string())
}
