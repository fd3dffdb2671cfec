//! The story of a request, told from logs.

use std::process::{Command, Output};

const LOG: &str = r#"
{"ms":100,"event":"G0204","what":"attempt_failed","request":"a1","target":"i-1","fault":"Refused","why":"503"}
12.5 front-1 {"ms":120,"event":"G0201","what":"refused","request":"a1","why":"the target refused the request","status":503}
{"ms":130,"event":"G0205","what":"answered","request":"b2","target":"i-2"}
{"ms":140,"event":"G0208","what":"unknown","request":"c3","why":"no answer came in time; the request may have run"}
{"ms":150,"event":"G0207","what":"broken","request":"d4","why":"silent"}
{"ms":160,"event":"G0211","what":"withdrawn","request":"e5","target":"i-3","why":"it had not begun when its weights expired"}
{"ms":190,"event":"G0205","what":"answered","request":"e5","target":"i-4"}
{"ms":170,"event":"G0214","what":"part_quarantined","part":"5c1e","crashes":"i-5@1 g7 beginning, i-6@1 h8 beginning","host":"own"}
{"ms":200,"event":"G0201","what":"refused","request":"f6","part":"5c1e","why":"the part 5c1e of the prompt crashes targets; leave it out","status":503}
not a line of ours
"#;

fn explain(request: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("entry.log");
    std::fs::write(&file, LOG).unwrap();
    Command::new(env!("CARGO_BIN_EXE_azurestand"))
        .args(["explain", request])
        .arg(&file)
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

#[test]
fn a_refusal_is_told_with_what_led_to_it() {
    let output = explain("a1");
    assert!(output.status.success());
    let text = text(&output);
    assert!(text.contains("20 ms  G0201 refused"), "{text}");
    assert!(
        text.ends_with("refused before it ran: the target refused the request after i-1: 503\n"),
        "{text}"
    );
}

#[test]
fn unknown_and_broken_requests_name_their_cause() {
    assert!(text(&explain("c3")).contains("its outcome can't be known: no answer came in time"));
    assert!(text(&explain("d4")).contains("broken off midway: silent"));
    assert!(text(&explain("b2")).contains("cause: answered"));
}

#[test]
fn a_withdrawal_is_told_as_what_led_to_the_answer() {
    let text = text(&explain("e5"));
    assert!(
        text.ends_with("answered after i-3: it had not begun when its weights expired\n"),
        "{text}"
    );
}

#[test]
fn a_refusal_for_a_part_of_the_prompt_names_the_targets_that_ended_under_it() {
    let text = text(&explain("f6"));
    assert!(
        text.ends_with("targets that ended under it: i-5@1 g7 beginning, i-6@1 h8 beginning\n"),
        "{text}"
    );
}

#[test]
fn a_request_without_a_line_is_not_found() {
    assert_eq!(explain("zz").status.code(), Some(6));
}
