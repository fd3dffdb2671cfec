//! Finds out whose request it is.

use axum::extract::Request;
use azurestand_config::Document;
use azurestand_types::{AccountName, Priority, Refusal};
use http::header::AUTHORIZATION;

use super::Stop;

/// A request of a known account.
#[derive(Debug)]
pub(in crate::entry) struct Identified {
    pub(in crate::entry) account: AccountName,
    pub(in crate::entry) priority: Priority,
    pub(in crate::entry) request: Request,
}

pub(super) fn identify(document: &Document, request: Request) -> Result<Identified, Stop> {
    let presented = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let found = presented.and_then(|key| document.find_account(key));
    let Some((name, account)) = found else {
        return Err(Stop::new(Refusal::Unauthorised));
    };
    Ok(Identified {
        account: name.clone(),
        priority: document.priority_of(account),
        request,
    })
}
