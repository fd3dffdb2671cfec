//! Metered connections for the pooling HTTP client.

use http::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower::ServiceExt;
use tower::util::MapResponse;

use crate::body::ResponseBody;
use crate::meter::{ByteMeter, MeteredStream};

/// Opens connections that bound the bytes that complete no part of a response.
///
/// Its client must read at most [`READ_BUFFER_BYTES`](crate::READ_BUFFER_BYTES) at once, and each
/// response must pass through [`meter_response`], which resets the meter of the connection.
pub type MeteredConnector =
    MapResponse<HttpConnector, fn(TokioIo<TcpStream>) -> TokioIo<MeteredStream>>;

/// Meters the connections that `connector` opens.
pub fn meter_connections(connector: HttpConnector) -> MeteredConnector {
    connector.map_response(meter_connection)
}

fn meter_connection(stream: TokioIo<TcpStream>) -> TokioIo<MeteredStream> {
    TokioIo::new(MeteredStream::new(stream.into_inner()))
}

/// Ties the body of a response whose head has just arrived to the meter of its connection.
pub fn meter_response(response: Response<Incoming>) -> Response<ResponseBody> {
    let meter = response.extensions().get::<ByteMeter>().cloned();
    response.map(|body| ResponseBody::new(body, meter.unwrap_or_default()))
}
