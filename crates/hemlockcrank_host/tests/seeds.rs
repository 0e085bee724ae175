//! Settings that name the other hosts only by seeds.

use std::{path::Path, sync::Arc};

use hemlockcrank_core::membership::View;
use hemlockcrank_host::{Settings, event::Timeline, peers::Peers, settings::Usage};
use rstest::rstest;

fn settings(host: &str, found_from_seeds: bool) -> String {
    format!(
        r#"{{
            "host": "{host}", "zone": "z",
            "listen": {{"peer": "10.0.0.1:7000", "operator": "10.0.0.1:7001"}},
            "data_dir": "/tmp/unused",
            "seeds": ["10.0.0.1:8400", "10.0.0.2:8400", "10.0.0.3:8400"],
            "found_from_seeds": {found_from_seeds},
            "platform": {{}},
            "secrets": {{"peer": "12345678", "operator": "12345678", "platform": "12345678",
                "key_digest": "12345678"}},
            "upstream": {{"user": "u", "password": "p"}}
        }}"#
    )
}

fn peers(settings: &Settings) -> Peers {
    let timeline = Arc::new(Timeline::new(settings.host.clone()));
    Peers::new(timeline, settings)
}

#[test]
fn seeds_become_peers_on_this_hosts_peer_port_and_bootstrap_hosts_only_if_enabled() {
    let forming = Settings::parse("forming", &settings("10.0.0.1", true)).expect("settings");
    let joining = Settings::parse("joining", &settings("10.0.0.1", false)).expect("settings");

    let bootstrap: Vec<&str> = forming.bootstrap.iter().map(|name| &**name).collect();
    assert_eq!(bootstrap, ["10.0.0.1", "10.0.0.2", "10.0.0.3"]);
    assert_eq!(forming.peers.len(), 2);
    assert_eq!(
        forming.peers[0].address,
        "10.0.0.2:7000".parse().expect("address")
    );
    assert!(joining.bootstrap.is_empty());
}

/// A voter that restarts has an empty view until a leader answers it, and its group may contain
/// voters that are not among the seeds. Without their addresses, two voters of three could never
/// elect a leader.
#[test]
fn a_voter_outside_the_seeds_is_reached_with_an_empty_view() {
    let settings = Settings::parse("restarted", &settings("10.0.0.1", false)).expect("settings");

    let address = peers(&settings).address_of("10.0.0.9", &View::default());

    assert_eq!(address, Some("10.0.0.9:7000".parse().expect("address")));
}

#[test]
fn with_seeds_a_host_name_other_than_its_peer_address_is_refused() {
    let error = Settings::parse("named", &settings("entry-1", false))
        .expect_err("a name that is not an address");

    assert!(error.to_string().contains("host"), "{error}");
}

/// Guards against settings that are no JSON on sites with, or without, reports of usage.
#[rstest]
#[case::without_usage(None)]
#[case::with_usage(Some(Usage { window_s: 5, delay_s: 10 }))]
fn the_rendered_deploy_template_has_valid_settings(#[case] usage: Option<Usage>) {
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/settings.json");
    let text = std::fs::read_to_string(template).expect("template");
    let rendered = [
        ("{{ip}}", "10.0.0.1"),
        ("{{zone}}", "z"),
        (
            "{{#listen.front}}\"caller\": \"{{.}}\",{{/listen.front}}",
            "\"caller\": \"10.0.0.1:80\",",
        ),
        ("{{clusterPortRange.0}}", "7000"),
        ("{{clusterPortRange.1}}", "7015"),
        ("{{#dataDir}}\"data_dir\": \"{{.}}\",{{/dataDir}}", ""),
        ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "\"10.0.0.2:8400\""),
        ("{{bootstrap|json}}", "false"),
        ("{{faultTolerance.machines|json}}", "2"),
        (
            "{{#listen.control}}\"control\": \"{{.}}\",{{/listen.control}}",
            "",
        ),
        (
            "{{#listen.ready}}\"ready\": \"{{.}}\",{{/listen.ready}}",
            "\"ready\": \"10.0.0.1:81\",",
        ),
        ("{{cloudApi.addr|json}}", "\"10.9.0.1:90\""),
    ];
    let text = rendered
        .iter()
        .fold(text, |text, (from, to)| text.replace(from, to));
    let (before, rest) = text
        .split_once("{{#bounds.reportWindowS}}")
        .expect("section");
    let (section, after) = rest
        .split_once("{{/bounds.reportWindowS}}")
        .expect("section");
    let section = usage.map_or_else(String::new, |usage| {
        section
            .replace("{{bounds.reportWindowS|json}}", &usage.window_s.to_string())
            .replace("{{bounds.usageDelayS|json}}", &usage.delay_s.to_string())
    });
    let text = [before, &section, after].concat();

    let settings = Settings::parse("rendered", &text).expect("valid settings");

    assert_eq!(settings.disk_losses, 2);
    let platform = settings.platform.as_ref();
    assert_eq!(platform.and_then(|platform| platform.usage), usage);
    assert!(
        settings
            .platform
            .is_some_and(|platform| platform.ready.is_some())
    );
}

#[test]
fn a_number_of_lost_disks_out_of_range_is_refused_by_name() {
    let text = settings("10.0.0.1", true)
        .replace(r#""platform": {}"#, r#""platform": {}, "disk_losses": 0"#);

    let error = Settings::parse("losses", &text).expect_err("no voter may be lost");

    assert!(error.to_string().contains("disk_losses"), "{error}");
}
