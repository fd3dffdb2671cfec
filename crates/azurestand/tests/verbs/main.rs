//! The real binary against the stand-in store.

mod bench;

use azurestand_standin::Losses;
use bench::Bench;

const DOCUMENT: &str = "# Network team.\n\
    [data_centres.tov]\nregion = \"west\"\n\
    [data_centres.khentii]\nregion = \"east\" # the depot\n\
    \n# Platform team.\n\
    [limits]\npermits = 2\ndrain = \"30s\"\n";

async fn started() -> Bench {
    let bench = Bench::start().await;
    bench.write("first.toml", DOCUMENT);
    let run = bench.run("config init first.toml").await;
    assert_eq!(run.code, 0, "{run:?}");
    bench
}

#[tokio::test(flavor = "multi_thread")]
async fn a_section_goes_from_edit_to_force_and_into_the_trail() {
    let bench = started().await;
    assert_eq!(bench.run("config edit limits").await.code, 0);
    assert_eq!(bench.run("config edit limits").await.code, 3);
    let text = bench.read("limits.toml");
    assert_eq!(
        text,
        "#: base 1 of limits\n# Platform team.\n[limits]\npermits = 2\ndrain = \"30s\"\n"
    );
    bench.write(
        "limits.toml",
        &text.replace("permits = 2", "permits = 3 # storm"),
    );
    assert_eq!(bench.run("config check limits.toml").await.code, 0);
    let diff = bench.run("config diff limits limits.toml").await;
    assert!(
        diff.out.contains("-permits = 2\n+permits = 3 # storm"),
        "{diff:?}"
    );
    let applied = bench
        .run("config apply limits limits.toml --change c1 --author bat")
        .await;
    assert_eq!(applied.out, "change c1 of limits applied as revision 2\n");
    let shown = bench.run("config show limits").await;
    assert_eq!(
        shown.out,
        "# Platform team.\n[limits]\npermits = 3 # storm\ndrain = \"30s\"\n"
    );
    let trail = bench.run("audit").await;
    assert!(trail.out.contains("bat changed limits"), "{trail:?}");
    assert!(
        trail.out.contains("- permits = 2\n  + permits = 3 # storm"),
        "{trail:?}"
    );
    let status = bench.run("config status c1 --format json").await;
    assert_eq!(status.out, "{\"change\":\"c1\",\"revision\":2}\n");
    assert_eq!(bench.run("config status c2").await.code, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_goes_out_and_back_and_the_last_one_stays() {
    let bench = started().await;
    assert_eq!(bench.run("dc out khentii").await.code, 0);
    let text = bench.run("config show data_centres").await.out;
    assert!(
        text.contains("region = \"east\" # the depot\nin_service = false\n"),
        "{text}"
    );
    let again = bench.run("dc out khentii").await;
    assert_eq!(
        (again.code, again.out.as_str()),
        (0, "khentii is out of service already, at revision 2\n")
    );
    let last = bench.run("dc out tov").await;
    assert_eq!(last.code, 3);
    assert!(last.err.contains("--force"), "{last:?}");
    assert_eq!(bench.run("dc in khentii").await.code, 0);
    assert_eq!(bench.run("dc out tok").await.code, 6);
    let history = bench.run("config history").await;
    assert_eq!(history.out.lines().count(), 3, "{history:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_conflict_is_refused_with_the_difference_and_other_sections_merge() {
    let bench = started().await;
    bench.run("config edit limits").await;
    bench.run("config edit data_centres").await;
    let mine = bench.read("limits.toml");
    bench.write("theirs.toml", &mine.replace("permits = 2", "permits = 9"));
    bench.write("limits.toml", &mine.replace("permits = 2", "permits = 4"));
    assert_eq!(bench.run("config apply limits theirs.toml").await.code, 0);
    let refused = bench.run("config apply limits limits.toml").await;
    assert_eq!(refused.code, 3);
    assert!(
        refused.err.contains("-permits = 9\n+permits = 4"),
        "{refused:?}"
    );
    let centres = bench
        .read("data_centres.toml")
        .replace("\"east\"", "\"far-east\"");
    bench.write("data_centres.toml", &centres);
    assert_eq!(
        bench
            .run("config apply data_centres data_centres.toml")
            .await
            .code,
        0
    );
    assert!(bench.run("config show").await.out.contains("permits = 9"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_the_write_applies_the_change_once() {
    let bench = started().await;
    bench.store.lose(Losses {
        after_write: 1,
        ..Losses::default()
    });
    let run = bench.run("dc out khentii --change c1").await;
    assert_eq!(
        run.out, "change c1 of data_centres applied as revision 2\n",
        "{run:?}"
    );
    bench.store.lose(Losses {
        before_write: 2,
        reads: 2,
        ..Losses::default()
    });
    let run = bench.run("dc in khentii --change c2").await;
    assert_eq!(
        run.out, "change c2 of data_centres applied as revision 3\n",
        "{run:?}"
    );
    assert_eq!(bench.run("config history").await.out.lines().count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_command_is_recognised_by_its_change() {
    let bench = started().await;
    bench.run("config edit limits").await;
    let text = bench
        .read("limits.toml")
        .replace("permits = 2", "permits = 3");
    bench.write("limits.toml", &text);
    assert_eq!(
        bench
            .run("config apply limits limits.toml --change c1")
            .await
            .code,
        0
    );
    let again = bench
        .run("config apply limits limits.toml --change c1")
        .await;
    assert_eq!(
        again.out,
        "change c1 of limits was applied before as revision 2\n"
    );
    assert_eq!(again.code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_change_is_reverted_and_later_ones_stay() {
    let bench = started().await;
    for (change, from, to) in [
        ("c1", "permits = 2", "permits = 5"),
        ("c2", "\"30s\"", "\"60s\""),
    ] {
        bench.run("config edit limits --force").await;
        bench.write("limits.toml", &bench.read("limits.toml").replace(from, to));
        let run = bench
            .run(&format!(
                "config apply limits limits.toml --change {change}"
            ))
            .await;
        assert_eq!(run.code, 0, "{run:?}");
    }
    let run = bench.run("config revert c1").await;
    assert_eq!(run.code, 0, "{run:?}");
    let text = bench.run("config show limits").await.out;
    assert!(text.contains("permits = 2\ndrain = \"60s\"\n"), "{text}");
    assert!(
        bench
            .run("config show")
            .await
            .out
            .contains("revision = 4\n")
    );
    assert_eq!(bench.run("config revert c9").await.code, 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_error_of_a_file_is_told_with_its_line() {
    let bench = started().await;
    bench.run("config edit limits").await;
    bench.write(
        "limits.toml",
        "#: base 1 of limits\n[limits]\npermits = 0\ngrwth = 2.0\n",
    );
    let text = bench.run("config apply limits limits.toml").await;
    assert_eq!(text.code, 2);
    let lines: Vec<&str> = text.err.lines().collect();
    assert!(
        lines[0].contains("line 3: limits.permits: 0 is out of range"),
        "{text:?}"
    );
    assert!(
        lines[1].contains("line 4: limits.grwth: the key is unknown"),
        "{text:?}"
    );
    let json = bench.run("config check limits.toml --format json").await;
    assert_eq!(json.code, 2);
    assert!(json.out.contains("\"line\":3"), "{json:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_tells_which_nodes_lag_and_ends_in_time() {
    let bench = started().await;
    let entry = bench.entry(&[("e1", "tov", 1), ("a1", "khentii", 1)]).await;
    let run = bench
        .run(&format!(
            "dc out khentii --wait --timeout 0.3 --entry {entry}"
        ))
        .await;
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.out.contains("missing: a1 at revision 1"), "{run:?}");
    let entry = bench.entry(&[("e1", "tov", 3), ("a1", "khentii", 2)]).await;
    bench.run("config edit limits").await;
    bench.write(
        "limits.toml",
        &bench
            .read("limits.toml")
            .replace("permits = 2", "permits = 3"),
    );
    let run = bench
        .run(&format!("config apply limits limits.toml --entry {entry}"))
        .await;
    assert_eq!(
        run.code, 3,
        "a store behind the nodes takes no edit: {run:?}"
    );
    assert!(run.err.contains("config recover"), "{run:?}");
    let entry = bench.entry(&[("e1", "tov", 2)]).await;
    let run = bench
        .run(&format!("dc out khentii --wait --entry {entry}"))
        .await;
    assert_eq!(run.code, 0, "{run:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_held_by_entries_is_brought_back_after_a_restore() {
    let bench = started().await;
    let old = bench.store.snapshot();
    bench.run("dc out khentii").await;
    let held = bench.run("config show").await.out;
    bench.store.restore(&old);
    let entry = bench.entry_with(&held).await;
    let run = bench.run(&format!("config recover --entry {entry}")).await;
    assert_eq!(run.code, 0, "{run:?}");
    let text = bench.run("config show").await.out;
    assert!(
        text.contains("revision = 3\n") && text.contains("in_service = false"),
        "{text}"
    );
    let again = bench.run(&format!("config recover --entry {entry}")).await;
    assert_eq!(again.code, 3, "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_is_down_changes_nothing_and_says_so() {
    let bench = started().await;
    bench.store.set_down(true);
    let run = bench.run("config show").await;
    assert_eq!(run.code, 1, "{run:?}");
    bench.store.set_down(false);
    assert_eq!(bench.run("config show").await.code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_command_lines_are_refused_with_the_usage() {
    let bench = Bench::start().await;
    for (line, expected) in [
        ("config aply limits f", "there is no verb"),
        (
            "config apply limits",
            "write `azurestand config apply SECTION FILE`",
        ),
        ("config show modles", "there is no section \"modles\""),
        ("audit --wait", "takes no --wait"),
        ("config show --format yaml", "there is no format"),
    ] {
        let run = bench.run(line).await;
        assert_eq!(run.code, 2, "{run:?}");
        assert!(run.err.contains(expected), "{run:?}");
    }
    assert!(bench.run("help dc out").await.out.contains("--wait"));
    assert!(bench.run("version").await.out.starts_with("azurestand "));
    let run = bench.run("config show").await;
    assert_eq!(
        run.code, 6,
        "an empty store is told from a failing one: {run:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_document_is_written_once() {
    let bench = Bench::start().await;
    bench.write("first.toml", DOCUMENT);
    bench.write("other.toml", "[limits]\n");
    bench.store.lose(Losses {
        after_write: 1,
        ..Losses::default()
    });
    assert_eq!(bench.run("config init first.toml").await.code, 0);
    assert_eq!(bench.run("config init first.toml").await.code, 0);
    assert_eq!(bench.run("config init other.toml").await.code, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_s_settings_are_checked_without_starting_it() {
    let bench = Bench::start().await;
    bench.write("settings.toml", "host = 7\n");
    let run = bench.run("check --settings settings.toml").await;
    assert_eq!(run.code, 2, "{run:?}");
    assert!(run.err.contains("settings.toml:1:"), "{run:?}");
    assert_eq!(bench.run("check").await.code, 2);
    assert_eq!(bench.run("check --settings absent.toml").await.code, 2);
}
