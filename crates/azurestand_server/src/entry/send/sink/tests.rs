//! Answers whose sink ends without a word.

use azurestand_wire::Header;
use http_body_util::BodyExt;

use super::*;

/// The carrier of a request that panicked ended its caller's stream as if it were complete.
#[tokio::test]
async fn a_stream_whose_sink_is_dropped_is_broken_off() {
    for is_finished in [true, false] {
        let (mut sink, head) = Sink::caller(RequestId(7));
        let kind = Header {
            name: CONTENT_TYPE.as_str().to_owned(),
            value: Bytes::from_static(b"text/event-stream"),
        };
        let answer_head = AnswerHead {
            status: 200,
            headers: vec![kind],
            ..AnswerHead::default()
        };
        sink.begin(answer_head).await;
        assert!(sink.pass(Bytes::from_static(b"data: a\n\n")).await);
        if is_finished {
            sink.finish(Outcome::Answered).await;
        } else {
            drop(sink);
        }
        let body = head.await.unwrap().into_body().collect().await;
        assert_eq!(body.is_ok(), is_finished, "{body:?}");
    }
}
