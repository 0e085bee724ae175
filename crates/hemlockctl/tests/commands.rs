//! The commands as operators use them: help, errors with their location, exit statuses, and a
//! session from submit to timeline.

use std::{
    io::Write,
    path::PathBuf,
    process::{Command, Output, Stdio},
};

use hemlockcrank_standin::{GroupSettings, OPERATOR_TOKEN, Site, SiteSettings, fresh_folder};

fn hemlockctl(arguments: &[&str], host: Option<&str>, input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockctl"));
    command.args(arguments).env("NO_COLOR", "1");
    command.env_remove("HEMLOCKCRANK_HOST");
    if let Some(host) = host {
        command.env("HEMLOCKCRANK_HOST", host);
    }
    command.env("HEMLOCKCRANK_TOKEN", OPERATOR_TOKEN);
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("hemlockctl");
    let _ = child
        .stdin
        .take()
        .expect("stdin")
        .write_all(input.as_bytes());
    child.wait_with_output().expect("output")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let folder = fresh_folder();
    std::fs::create_dir_all(&folder).expect("folder");
    let path = folder.join(name);
    std::fs::write(&path, content).expect("file");
    path
}

#[test]
fn help_lists_every_command_with_an_example() {
    let help = text(&hemlockctl(&["--help"], None, "").stdout);
    for command in [
        "submit",
        "revise",
        "withdraw",
        "get",
        "status",
        "databases",
        "switchover",
        "timeline",
        "check",
    ] {
        assert!(help.contains(command), "{command} is not in the help");
    }
    assert_eq!(
        help.matches("Example: hemlockctl").count(),
        9,
        "one example per command"
    );
}

#[test]
fn a_bad_record_file_shows_the_place_and_exits_with_2() {
    let path = write_file("rate.json", "{\n  \"per_second\": 5,\n  \"brust\": 5\n}\n");

    let output = hemlockctl(
        &["check", &path.display().to_string(), "--kind", "rate"],
        None,
        "",
    );

    let shown = text(&output.stderr).replace(&path.display().to_string(), "rate.json");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(shown);
}

#[test]
fn bad_arguments_exit_with_2_and_an_unreachable_host_with_1() {
    let output = hemlockctl(&["status"], None, "");
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("HEMLOCKCRANK_HOST"));
    let output = hemlockctl(&["get", "nonsense", "x"], Some("127.0.0.1:1"), "");
    assert_eq!(output.status.code(), Some(2));
    let output = hemlockctl(&["status"], Some("127.0.0.1:1"), "");
    assert_eq!(output.status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_record_is_submitted_revised_withdrawn_and_shown_in_the_timeline() {
    let group = GroupSettings::new("ledger", "ledger-1").connections(20, 1);
    let mut site = Site::start(SiteSettings::new(&["z1", "z2", "z3"], vec![group]))
        .await
        .expect("site");
    let hosts: Vec<String> = site
        .settings
        .iter()
        .map(|settings| settings.listen.operator.to_string())
        .collect();
    let run = |host: usize, arguments: &[&str], input: &str| {
        let output = hemlockctl(arguments, Some(&hosts[host]), input);
        (
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };
    let rate = r#"{"per_second": 5, "burst": 5}"#;

    let (status, out, err) = run(0, &["submit", "rate", "teclado", "--wait"], rate);
    assert_eq!(
        (
            status,
            out.contains("revision 1") && out.contains("in force everywhere")
        ),
        (Some(0), true),
        "{out}{err}"
    );
    let (status, _, err) = run(1, &["submit", "rate", "teclado"], rate);
    assert_eq!(
        (status, err.contains("--revision 1")),
        (Some(3), true),
        "{err}"
    );
    let (status, out, _) = run(
        2,
        &[
            "revise",
            "rate",
            "teclado",
            "--revision",
            "1",
            "--op",
            "op-9",
            "--json",
        ],
        rate,
    );
    assert_eq!(
        (status, out.contains("\"revision\": 2")),
        (Some(0), true),
        "{out}"
    );
    let (status, repeated, _) = run(
        1,
        &[
            "revise",
            "rate",
            "teclado",
            "--revision",
            "1",
            "--op",
            "op-9",
            "--json",
        ],
        rate,
    );
    assert_eq!(
        (status, repeated),
        (Some(0), out),
        "a resent change gets the first answer"
    );
    let (status, out, _) = run(
        0,
        &["withdraw", "rate", "teclado", "--revision", "2", "--wait"],
        "",
    );
    assert_eq!(
        (status, out.contains("revision 3")),
        (Some(0), true),
        "{out}"
    );
    let (_, out, _) = run(1, &["get", "rate", "teclado"], "");
    assert!(out.contains("withdrawn"), "{out}");
    let (_, out, _) = run(2, &["status"], "");
    assert!(
        out.contains("voters host-1, host-2, host-3") && out.contains("zone z2"),
        "{out}"
    );
    let (_, out, _) = run(0, &["databases"], "");
    assert!(
        out.contains("ledger-1 of ledger: term 1, primary ledger-1-m1"),
        "{out}"
    );

    let (_, out, _) = run(1, &["timeline", "--field", "name=teclado"], "");
    let revisions: Vec<usize> = ["revision=1", "revision=2", "revision=3"]
        .iter()
        .filter_map(|revision| out.find(revision))
        .collect();
    assert!(revisions.len() == 3 && revisions.is_sorted(), "{out}");
    site.kill_host(2).await;
    let (_, out, _) = run(1, &["timeline", "--of", "host-1"], "");
    assert!(out.contains("MISSING: host host-3"), "{out}");
}
